//! Check of a routing document before the operator sends it: the entries that instances refuse or
//! never use, and the limits that contradict each other.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::collections::{HashMap, HashSet};
use crate::directory::Directory;
use crate::ids::{RouteId, ServiceId};
use crate::route::{DirectoryRecord, Part, Route, RoutedService, Routing};
use crate::route_table::{RouteLookup, RouteTable};
use crate::routing_document::{
    DecodedRouting, EntryFault, RoutingDecoder, RoutingEntry, RoutingError, ROUTES_FIELD,
    SERVICES_FIELD,
};

/// Version of the store that the replica of a checked document has.
const REPLICA_VERSION: u64 = 1;

copy_type! {
    /// Severity of a finding.
    #[serde(rename_all = "snake_case")]
    pub enum Severity {
        /// Instances refuse the document, ignore the entry or never use it.
        Error,
        /// Instances use the entry, although it is probably a mistake.
        Warning,
    }
}

value_type! {
    /// What is wrong with an entry.
    #[serde(rename_all = "snake_case")]
    pub enum Problem {
        /// Instances refuse the document because of the entry.
        Refused(SmolStr),
        /// Instances ignore the entry and use the others.
        Skipped(SmolStr),
        /// Another entry of the same kind has the name, and only one of them counts.
        DuplicateName,
        /// Another route has the address and gets its flows.
        AddressTaken {
            /// Address of both routes.
            address: SocketAddrV4,
            /// Route that gets the flows.
            by: RouteId,
        },
        /// The route has no service.
        NoService,
        /// All weights of the route's services are zero.
        NoWeight,
        /// The route names a service that the document does not list.
        UnlistedService(ServiceId),
        /// The timeout is zero.
        NoTimeout,
        /// The latency objective exceeds the timeout.
        AimOverTimeout {
            /// Latency objective.
            aim: Duration,
            /// Timeout.
            timeout: Duration,
        },
        /// The idle timeout of all flows is shorter than the route's timeout or latency objective.
        IdleTimeoutBelowRequest {
            /// Idle timeout of all flows.
            idle_timeout: Duration,
            /// Longer one of the route's timeout and latency objective.
            request: Duration,
        },
        /// The service has a cold start, but no rate of new flows for it.
        NoColdRate(Duration),
        /// The idle timeout is zero.
        NoIdleTimeout,
        /// The version is lower than this one, which is in force.
        OldVersion(u64),
        /// The version is in force with other contents.
        VersionInUse(u64),
    }

    /// Finding of the check.
    pub struct Finding {
        /// Severity of the finding.
        pub severity: Severity,
        /// Entry that is concerned.
        pub entry: RoutingEntry,
        /// What is wrong with the entry.
        pub problem: Problem,
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Refused(reason) => write!(f, "instances refuse the document: {reason}"),
            Problem::Skipped(reason) => write!(f, "instances ignore this entry: {reason}"),
            Problem::DuplicateName => f.write_str("another entry has this name; only one counts"),
            Problem::AddressTaken { address, by } => {
                write!(f, "never matches: route {by} gets the flows to {address}")
            }
            Problem::NoService => f.write_str("has no service, so new flows are refused"),
            Problem::NoWeight => f.write_str("all weights are zero, so new flows are refused"),
            Problem::UnlistedService(service) => {
                write!(f, "refers to service {service}, which the document does not list")
            }
            Problem::NoTimeout => f.write_str("has no timeout, or one of zero"),
            Problem::AimOverTimeout { aim, timeout } => {
                write!(f, "aim of {aim:?} exceeds the timeout of {timeout:?}")
            }
            Problem::IdleTimeoutBelowRequest { idle_timeout, request } => {
                write!(
                    f,
                    "a request may take {request:?}, but idle flows end after {idle_timeout:?}"
                )
            }
            Problem::NoColdRate(cold_time) => write!(
                f,
                "targets are cold for {cold_time:?}, but the rate of new flows for cold targets is \
                 below one a second"
            ),
            Problem::NoIdleTimeout => f.write_str("idle timeout is zero"),
            Problem::OldVersion(in_force) => {
                write!(
                    f,
                    "lower than {in_force}, which is in force, so instances ignore the document"
                )
            }
            Problem::VersionInUse(version) => {
                write!(
                    f,
                    "{version} is in force with other contents; give the document a higher one"
                )
            }
        }
    }
}

impl Problem {
    /// Returns how severe the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Problem::Refused(_)
            | Problem::Skipped(_)
            | Problem::DuplicateName
            | Problem::AddressTaken { .. }
            | Problem::OldVersion(_) => Severity::Error,
            _ => Severity::Warning,
        }
    }
}

impl Finding {
    /// Creates the finding of a problem, with its severity.
    pub fn new(entry: RoutingEntry, problem: Problem) -> Self {
        Self { severity: problem.severity(), entry, problem }
    }
}

/// Decodes a document with the decoder of the instances, and returns all findings, with the routing
/// unless instances refuse the document.
pub fn check_document(
    document: &Value,
    decode: RoutingDecoder,
    now: Instant,
) -> (Vec<Finding>, Option<Routing>) {
    match decode(document) {
        Ok(DecodedRouting { routing, skipped }) => {
            let mut findings = check(&routing, now);
            restore_indices(&mut findings, &skipped);
            findings.extend(
                skipped.into_iter().map(|it| Finding::new(it.entry, Problem::Skipped(it.reason))),
            );
            (findings, Some(routing))
        }
        Err(RoutingError { faults }) => (check_refused(document, faults, decode, now), None),
    }
}

/// Returns the findings on a document that instances refuse because of `faults`: the faults, and the
/// problems of the other entries.
fn check_refused(
    document: &Value,
    faults: Vec<EntryFault>,
    decode: RoutingDecoder,
    now: Instant,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(rest) = without(document, &faults) {
        findings = check_document(&rest, decode, now).0;
        restore_indices(&mut findings, &faults);
        let faulty = service_names(&faults);
        findings.retain(|finding| match &finding.problem {
            Problem::UnlistedService(name) => !faulty.contains(name),
            _ => true,
        });
    }
    let refused = |it: EntryFault| Finding::new(it.entry, Problem::Refused(it.reason));
    findings.extend(faults.into_iter().map(refused));
    findings
}

/// Returns a document without its faulty routes and services, or `None` if something else is faulty,
/// without which it cannot be decoded.
fn without(document: &Value, faults: &[EntryFault]) -> Option<Value> {
    if faults.is_empty() {
        return None;
    }
    let mut rest = document.clone();
    // From the last entry to the first, so that the positions of the others stay.
    for fault in faults.iter().rev() {
        let (field, index) = match fault.entry {
            RoutingEntry::Route { index, .. } => (ROUTES_FIELD, index),
            RoutingEntry::Service { index, .. } => (SERVICES_FIELD, index),
            RoutingEntry::Document | RoutingEntry::Version | RoutingEntry::Limits => return None,
        };
        let entries = rest.get_mut(field)?.as_array_mut()?;
        if index >= entries.len() {
            return None;
        }
        entries.remove(index);
    }
    Some(rest)
}

/// Returns the names of the faulty services, which routes may refer to all the same.
fn service_names(faults: &[EntryFault]) -> HashSet<&ServiceId> {
    let names = faults.iter().filter_map(|fault| match &fault.entry {
        RoutingEntry::Service { name, .. } => Some(name),
        _ => None,
    });
    names.collect()
}

/// Returns all findings on a routing document. The entries of the findings have the positions of the
/// routing's lists. `now` is the time of the check.
pub fn check(routing: &Routing, now: Instant) -> Vec<Finding> {
    let mut findings = Vec::new();
    if routing.limits.idle_timeout.is_zero() {
        findings.push(Finding::new(RoutingEntry::Limits, Problem::NoIdleTimeout));
    }
    check_services(&routing.services, &mut findings);
    check_routes(routing, now, &mut findings);
    findings
}

fn check_services(services: &[RoutedService], findings: &mut Vec<Finding>) {
    let duplicates = duplicates(services.iter().map(|service| &service.name));
    for (index, service) in services.iter().enumerate() {
        let mut report = |problem| {
            let entry = RoutingEntry::Service { index, name: service.name.clone() };
            findings.push(Finding::new(entry, problem));
        };
        if duplicates.contains(&service.name) {
            report(Problem::DuplicateName);
        }
        if !service.cold_time.is_zero() && service.cold_flows_per_second == 0 {
            report(Problem::NoColdRate(service.cold_time));
        }
    }
}

fn check_routes(routing: &Routing, now: Instant, findings: &mut Vec<Finding>) {
    let duplicates = duplicates(routing.routes.iter().map(|route| &route.name));
    let listed: HashSet<_> = routing.services.iter().map(|service| &service.name).collect();
    let table = route_table(routing, now);
    for (index, route) in routing.routes.iter().enumerate() {
        let mut report = |problem| {
            let entry = RoutingEntry::Route { index, name: route.name.clone() };
            findings.push(Finding::new(entry, problem));
        };
        if duplicates.contains(&route.name) {
            report(Problem::DuplicateName);
        }
        if let Some(by) = taken_by(&table, route) {
            report(Problem::AddressTaken { address: route.address, by });
        }
        check_route_services(route, &listed, &mut report);
        check_route_times(route, routing.limits.idle_timeout, &mut report);
    }
}

fn check_route_services(
    route: &Route,
    listed: &HashSet<&ServiceId>,
    report: &mut impl FnMut(Problem),
) {
    if route.services.is_empty() {
        report(Problem::NoService);
    } else if route.services.iter().all(|share| share.weight == 0) {
        report(Problem::NoWeight);
    }
    for share in &route.services {
        if !listed.contains(&share.service) {
            report(Problem::UnlistedService(share.service.clone()));
        }
    }
}

fn check_route_times(route: &Route, idle_timeout: Duration, report: &mut impl FnMut(Problem)) {
    let Route { aim, timeout, .. } = *route;
    if timeout.is_zero() {
        report(Problem::NoTimeout);
    } else if aim > timeout {
        report(Problem::AimOverTimeout { aim, timeout });
    }
    let request = aim.max(timeout);
    if !idle_timeout.is_zero() && idle_timeout < request {
        report(Problem::IdleTimeoutBelowRequest { idle_timeout, request });
    }
}

/// Returns the route table that an instance builds from a document.
fn route_table(routing: &Routing, now: Instant) -> RouteTable {
    let records = routing.clone().into_records().into_iter();
    let records = records.map(|(name, body)| DirectoryRecord {
        name,
        version: REPLICA_VERSION,
        body: Some(body),
    });
    let mut directory = Directory::default();
    directory.merge(Part::Routing, records.collect(), now);
    let mut table = RouteTable::default();
    table.rebuild(&directory);
    table
}

/// Returns the route of another name that gets the flows to a route's address.
fn taken_by(table: &RouteTable, route: &Route) -> Option<RouteId> {
    match table.lookup(&route.address) {
        RouteLookup::Route(entry) => {
            Some(entry.route.name.clone()).filter(|name| *name != route.name)
        }
        RouteLookup::Removed | RouteLookup::Unknown => None,
    }
}

/// Returns the names that occur more than once.
fn duplicates<'a>(names: impl Iterator<Item = &'a SmolStr>) -> HashSet<&'a SmolStr> {
    let mut counts: HashMap<&SmolStr, usize> = HashMap::default();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts.into_iter().filter(|(_, count)| *count > 1).map(|(name, _)| name).collect()
}

/// Changes the positions of entries in a document without those of `left_out` into positions in the
/// whole document.
fn restore_indices(findings: &mut [Finding], left_out: &[EntryFault]) {
    let routes = kept_before(left_out, |entry| match entry {
        RoutingEntry::Route { index, .. } => Some(*index),
        _ => None,
    });
    let services = kept_before(left_out, |entry| match entry {
        RoutingEntry::Service { index, .. } => Some(*index),
        _ => None,
    });
    for finding in findings {
        let (index, kept_before) = match &mut finding.entry {
            RoutingEntry::Route { index, .. } => (index, &routes),
            RoutingEntry::Service { index, .. } => (index, &services),
            RoutingEntry::Document | RoutingEntry::Version | RoutingEntry::Limits => continue,
        };
        *index += kept_before.partition_point(|kept| *kept <= *index);
    }
}

/// Returns, for each entry that is left out, the number of kept entries that precede it. `index`
/// returns the position of an entry, or `None` for entries of another kind.
fn kept_before(
    left_out: &[EntryFault],
    index: impl Fn(&RoutingEntry) -> Option<usize>,
) -> Vec<usize> {
    let indices = left_out.iter().filter_map(|fault| index(&fault.entry));
    indices.enumerate().map(|(count, index)| index.saturating_sub(count)).collect()
}
