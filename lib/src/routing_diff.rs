//! Differences between the routing in force and a document that would replace it, with what they
//! mean for open flows.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::{format_smolstr, SmolStr};

use crate::collections::HashSet;
use crate::route::{is_older_document, Route, RoutedService, Routing, ServiceShare};
use crate::routing_check::{Finding, Problem};
use crate::routing_document::{RoutingEntry, LIMITS_FIELD};

copy_type! {
    /// What a difference means for the open flows that it concerns.
    #[serde(rename_all = "snake_case")]
    pub enum OpenFlows {
        /// The difference concerns no open flow.
        Unaffected,
        /// Open flows keep their targets.
        Kept,
        /// Open flows are reset.
        Reset,
        /// Open flows that are idle for longer than the new idle timeout may be dropped.
        DroppedIfIdle,
    }

    /// How the version of a document compares with the one in force.
    #[serde(rename_all = "snake_case")]
    pub enum VersionOrder {
        /// The version is higher, so that the document replaces the one in force.
        Higher,
        /// The version is the one in force.
        Same,
        /// The version is lower, so that instances ignore the document.
        Lower,
    }
}

value_type! {
    /// Difference of one entry.
    pub struct Difference {
        /// Kind and name of the entry, such as `route mail`.
        pub entry: SmolStr,
        /// What changes.
        pub change: SmolStr,
        /// What it means for open flows.
        pub open_flows: OpenFlows,
    }

    /// Differences between the routing in force and a document.
    pub struct RoutingDiff {
        /// Version in force.
        pub version_in_force: u64,
        /// Version of the document.
        pub version: u64,
        /// How the versions compare.
        pub order: VersionOrder,
        /// Differences of routes, then of services, each ordered by name, then of the limits.
        pub differences: Vec<Difference>,
    }
}

impl fmt::Display for OpenFlows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OpenFlows::Unaffected => "no open flow is concerned",
            OpenFlows::Kept => "open flows are kept",
            OpenFlows::Reset => "open flows are reset",
            OpenFlows::DroppedIfIdle => "open flows that are idle for longer may be dropped",
        })
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.entry, self.change, self.open_flows)
    }
}

impl RoutingDiff {
    /// Compares a document with the routing in force.
    pub fn new(in_force: &Routing, document: &Routing) -> Self {
        let mut differences = route_differences(&in_force.routes, &document.routes);
        differences.extend(service_differences(&in_force.services, &document.services));
        differences.extend(limits_difference(in_force, document));
        Self {
            version_in_force: in_force.version,
            version: document.version,
            order: version_order(document.version, in_force.version),
            differences,
        }
    }

    /// Returns the finding on the document's version, if it keeps instances from using the document
    /// or from telling it apart from the routing in force.
    pub fn finding(&self) -> Option<Finding> {
        let problem = match self.order {
            VersionOrder::Lower => Problem::OldVersion(self.version_in_force),
            VersionOrder::Same if !self.differences.is_empty() => {
                Problem::VersionInUse(self.version)
            }
            VersionOrder::Same | VersionOrder::Higher => return None,
        };
        Some(Finding::new(RoutingEntry::Version, problem))
    }
}

fn version_order(version: u64, in_force: u64) -> VersionOrder {
    if is_older_document(version, in_force) {
        VersionOrder::Lower
    } else if version == in_force {
        VersionOrder::Same
    } else {
        VersionOrder::Higher
    }
}

fn route_differences(old: &[Route], new: &[Route]) -> Vec<Difference> {
    let routed: HashSet<SocketAddrV4> = new.iter().map(|route| route.address).collect();
    // Instances look routes up by address, and keep the flows of every address that still has one.
    let flows_at = |address| match routed.contains(&address) {
        true => OpenFlows::Kept,
        false => OpenFlows::Reset,
    };
    let mut differences = Vec::new();
    for (name, pair) in by_name(old, new, |route| &route.name) {
        let mut add = |change, open_flows| {
            let entry = format_smolstr!("route {name}");
            differences.push(Difference { entry, change, open_flows });
        };
        match pair {
            (None, Some(new)) => {
                let services = services_text(&new.services);
                add(
                    format_smolstr!("added at {} ({services})", new.address),
                    OpenFlows::Unaffected,
                );
            }
            (Some(old), None) => {
                add(format_smolstr!("removed from {}", old.address), flows_at(old.address));
            }
            (Some(old), Some(new)) => {
                if old.address != new.address {
                    let change = format_smolstr!("moved from {} to {}", old.address, new.address);
                    add(change, flows_at(old.address));
                }
                route_changes(old, new).for_each(|change| add(change, OpenFlows::Kept));
            }
            (None, None) => {}
        }
    }
    differences
}

/// Returns the changes of a route that keep its open flows where they are.
fn route_changes(old: &Route, new: &Route) -> impl Iterator<Item = SmolStr> {
    let (old_services, new_services) = (services_text(&old.services), services_text(&new.services));
    let retry = |route: &Route| if route.is_idempotent { "allowed" } else { "not allowed" };
    let changes = [
        changed("services", &old_services, &new_services),
        changed("timeout", &text(old.timeout), &text(new.timeout)),
        changed("aim", &text(old.aim), &text(new.aim)),
        changed("precedence", &old.precedence, &new.precedence),
        changed("retries", &retry(old), &retry(new)),
    ];
    changes.into_iter().flatten()
}

fn service_differences(old: &[RoutedService], new: &[RoutedService]) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (name, pair) in by_name(old, new, |service| &service.name) {
        let mut add = |change, open_flows| {
            let entry = format_smolstr!("service {name}");
            differences.push(Difference { entry, change, open_flows });
        };
        match pair {
            (None, Some(_)) => add("added".into(), OpenFlows::Unaffected),
            (Some(_), None) => add("removed".into(), OpenFlows::Kept),
            (Some(old), Some(new)) => {
                service_changes(old, new).for_each(|change| add(change, OpenFlows::Kept));
            }
            (None, None) => {}
        }
    }
    differences
}

fn service_changes(old: &RoutedService, new: &RoutedService) -> impl Iterator<Item = SmolStr> {
    let (old_rate, new_rate) = (old.cold_flows_per_second, new.cold_flows_per_second);
    let changes = [
        changed("health path", &old.health_path, &new.health_path),
        changed("cold time", &text(old.cold_time), &text(new.cold_time)),
        changed("new flows a second for cold targets", &old_rate, &new_rate),
    ];
    changes.into_iter().flatten()
}

fn limits_difference(old: &Routing, new: &Routing) -> Option<Difference> {
    let (old, new) = (old.limits.idle_timeout, new.limits.idle_timeout);
    let change = changed("idle timeout", &text(old), &text(new))?;
    let open_flows = if new < old { OpenFlows::DroppedIfIdle } else { OpenFlows::Kept };
    Some(Difference { entry: LIMITS_FIELD.into(), change, open_flows })
}

type Pair<'a, T> = (Option<&'a T>, Option<&'a T>);

/// Pairs the old and the new entry of each name, ordered by name. Of entries with the same name, the
/// first one counts.
fn by_name<'a, T>(
    old: &'a [T],
    new: &'a [T],
    name: fn(&T) -> &SmolStr,
) -> BTreeMap<&'a SmolStr, Pair<'a, T>> {
    let mut pairs: BTreeMap<_, Pair<'a, T>> = BTreeMap::new();
    for entry in old {
        pairs.entry(name(entry)).or_default().0.get_or_insert(entry);
    }
    for entry in new {
        pairs.entry(name(entry)).or_default().1.get_or_insert(entry);
    }
    pairs
}

fn changed<T: PartialEq + fmt::Display>(what: &str, old: &T, new: &T) -> Option<SmolStr> {
    (old != new).then(|| format_smolstr!("{what} changed from {old} to {new}"))
}

/// Returns a duration for a message; zero stands for none.
fn text(duration: Duration) -> SmolStr {
    match duration.is_zero() {
        true => "none".into(),
        false => format_smolstr!("{duration:?}"),
    }
}

/// Returns the services of a route with their weights.
fn services_text(shares: &[ServiceShare]) -> SmolStr {
    let shares: Vec<_> =
        shares.iter().map(|share| format!("{} {}", share.service, share.weight)).collect();
    match shares.is_empty() {
        true => "no service".into(),
        false => shares.join(", ").into(),
    }
}
