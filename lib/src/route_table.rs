//! Routes by address, as the flow door with cookies looks them up.

use std::net::SocketAddrV4;

use crate::collections::{HashMap, HashSet};
use crate::directory::Directory;
use crate::ids::{FlowHash, ServiceId};
use crate::route::{FlowLimits, Part, RecordBody, Route, RoutedService};

/// Route of an address, with the services that its open flows may belong to.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The route.
    pub route: Route,
    former: Vec<ServiceId>,
}

impl RouteEntry {
    /// Returns the service of a new flow.
    pub fn select_service(&self, hash: FlowHash) -> Option<&ServiceId> {
        let shares = &self.route.services;
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for share in shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Tells whether an open flow of the route may belong to a service.
    pub fn accepts_service(&self, service: &ServiceId) -> bool {
        self.route.services.iter().any(|share| share.service == *service)
            || self.former.contains(service)
    }
}

/// What is known of an address.
#[derive(Clone, Copy, Debug)]
pub enum RouteLookup<'a> {
    /// There is a route.
    Route(&'a RouteEntry),
    /// There was a route, which the operator has removed.
    Removed,
    /// There has never been a route as far as this instance knows.
    Unknown,
}

/// Routes by address.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<SocketAddrV4, RouteEntry>,
    removed: HashSet<SocketAddrV4>,
    services: HashMap<ServiceId, RoutedService>,
    limits: Option<FlowLimits>,
}

impl RouteTable {
    /// Returns the operator's version of the routing in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns what is known of an address.
    pub fn lookup(&self, address: &SocketAddrV4) -> RouteLookup<'_> {
        match self.routes.get(address) {
            Some(entry) => RouteLookup::Route(entry),
            None if self.removed.contains(address) => RouteLookup::Removed,
            None => RouteLookup::Unknown,
        }
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&RoutedService> {
        self.services.get(name)
    }

    /// Returns the limits of flows.
    pub fn limits(&self) -> Option<&FlowLimits> {
        self.limits.as_ref()
    }

    /// Builds the table anew from the directory, keeping what open flows still need.
    pub fn rebuild(&mut self, directory: &Directory) {
        let mut former = std::mem::take(&mut self.routes);
        self.services.clear();
        for (_, body) in directory.records(Part::Routing) {
            match body {
                RecordBody::RoutingVersion(version) => self.version = *version,
                RecordBody::Service(service) => {
                    self.services.insert(service.name.clone(), service.clone());
                }
                RecordBody::Limits(limits) => self.limits = Some(limits.clone()),
                RecordBody::Route(route) => {
                    let entry = succeed(route, former.remove(&route.address));
                    self.removed.remove(&route.address);
                    self.routes.insert(route.address, entry);
                }
                RecordBody::Registration(_) | RecordBody::Outage => {
                    log::error!("routing holds a record of another part");
                }
            }
        }
        self.removed.extend(former.into_keys());
    }
}

fn succeed(route: &Route, former: Option<RouteEntry>) -> RouteEntry {
    let mut services: Vec<ServiceId> = Vec::new();
    if let Some(entry) = former {
        let shares = entry.route.services.into_iter().map(|share| share.service);
        for service in entry.former.into_iter().chain(shares) {
            let is_current = route.services.iter().any(|share| share.service == service);
            if !is_current && !services.contains(&service) {
                services.push(service);
            }
        }
    }
    RouteEntry { route: route.clone(), former: services }
}
