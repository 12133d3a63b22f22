//! Table of routes by address, in which the packet forwarder looks up each packet.

use std::net::SocketAddrV4;

use crate::collections::{HashMap, HashSet};
use crate::directory::Directory;
use crate::ids::{FlowHash, ServiceId};
use crate::route::{FlowLimits, Part, RecordBody, Route, RoutedService};

/// Route of an address, with all services that its open flows may belong to.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Route as the routing in force has it.
    pub route: Route,
    /// Services that earlier versions of the route had and this one has not.
    former_services: Vec<ServiceId>,
}

impl RouteEntry {
    /// Selects the service of a new flow by weighted hashing, or returns `None` if the weights of
    /// the route's services add up to 0.
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

    /// Returns whether an open flow of the route may belong to a service, which holds for every
    /// service that the route has or had.
    pub fn accepts_service(&self, service: &ServiceId) -> bool {
        self.route.services.iter().any(|share| share.service == *service)
            || self.former_services.contains(service)
    }
}

/// Result of the lookup of an address.
#[derive(Clone, Copy, Debug)]
pub enum RouteLookup<'a> {
    /// The address has a route.
    Route(&'a RouteEntry),
    /// The address had a route, which the operator has removed.
    Removed,
    /// This instance has never received a route for the address.
    Unknown,
}

/// Routes by address, the services that they refer to, and the limits on flows.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<SocketAddrV4, RouteEntry>,
    removed: HashSet<SocketAddrV4>,
    services: HashMap<ServiceId, RoutedService>,
    limits: Option<FlowLimits>,
}

impl RouteTable {
    /// Returns the version that the operator assigned to the routing in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes, without removed ones.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns the routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().map(|entry| &entry.route)
    }

    /// Returns whether the table has no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Looks up the route of an address.
    pub fn lookup(&self, address: &SocketAddrV4) -> RouteLookup<'_> {
        match self.routes.get(address) {
            Some(entry) => RouteLookup::Route(entry),
            None if self.removed.contains(address) => RouteLookup::Removed,
            None => RouteLookup::Unknown,
        }
    }

    /// Returns the settings of a service; `None` if the routing does not list it.
    pub fn service(&self, name: &str) -> Option<&RoutedService> {
        self.services.get(name)
    }

    /// Returns the limits on flows; `None` before the first routing is received.
    pub fn limits(&self) -> Option<&FlowLimits> {
        self.limits.as_ref()
    }

    /// Rebuilds the table from the directory. Keeps the former services of each route and the
    /// addresses of removed routes, which the packets of open flows are matched against.
    pub fn rebuild(&mut self, directory: &Directory) {
        let mut previous_routes = std::mem::take(&mut self.routes);
        self.services.clear();
        for (_, body) in directory.records(Part::Routing) {
            match body {
                RecordBody::RoutingVersion(version) => self.version = *version,
                RecordBody::Service(service) => {
                    self.services.insert(service.name.clone(), service.clone());
                }
                RecordBody::Limits(limits) => self.limits = Some(limits.clone()),
                RecordBody::AimedRoute(route) => {
                    self.insert(route.clone(), &mut previous_routes);
                }
                RecordBody::Route(route) => {
                    self.insert(route.clone().into(), &mut previous_routes);
                }
                RecordBody::Registration(_) | RecordBody::Outage => {
                    log::error!("routing part of the directory contains a record of another part; ignoring it");
                }
            }
        }
        self.removed.extend(previous_routes.into_keys());
    }

    /// Inserts a route, which replaces the one of `previous_routes` with the same address.
    fn insert(&mut self, route: Route, previous_routes: &mut HashMap<SocketAddrV4, RouteEntry>) {
        let address = route.address;
        let entry = successor(route, previous_routes.remove(&address));
        self.removed.remove(&address);
        self.routes.insert(address, entry);
    }
}

/// Returns the entry of a route that replaces `previous`, whose services it inherits as former
/// ones.
fn successor(route: Route, previous: Option<RouteEntry>) -> RouteEntry {
    let mut former_services: Vec<ServiceId> = Vec::new();
    if let Some(previous) = previous {
        let shares = previous.route.services.into_iter().map(|share| share.service);
        for service in previous.former_services.into_iter().chain(shares) {
            let is_current = route.services.iter().any(|share| share.service == service);
            if !is_current && !former_services.contains(&service) {
                former_services.push(service);
            }
        }
    }
    RouteEntry { route, former_services }
}
