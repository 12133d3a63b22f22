//! Routes that instances of other builds sent.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::directory::Directory;
use hollyhead::route::{DirectoryRecord, LegacyRoute, Part, RecordBody, Route, ServiceShare};
use hollyhead::route_table::{RouteLookup, RouteTable};
use tokio::time::Instant;

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn legacy_route() -> LegacyRoute {
    LegacyRoute {
        name: "feeds".into(),
        address: ADDRESS,
        services: vec![ServiceShare { service: "quaydesk".into(), weight: 1 }],
        precedence: 2,
        is_idempotent: true,
        timeout: Duration::from_millis(2_000),
    }
}

fn rebuilt_with(body: RecordBody) -> RouteTable {
    let record = DirectoryRecord { name: "route/feeds".into(), version: 1, body: Some(body) };
    let mut directory = Directory::default();
    directory.merge(Part::Routing, vec![record], Instant::now());
    let mut table = RouteTable::default();
    table.rebuild(&directory);
    table
}

/// An instance of an older build relays routes without latency objectives.
#[test]
fn rebuild_legacy_route_has_no_aim() {
    let table = rebuilt_with(RecordBody::Route(legacy_route()));
    let RouteLookup::Route(entry) = table.lookup(&ADDRESS) else { panic!("route is missing") };
    assert_eq!(entry.route, Route::from(legacy_route()));
    assert_eq!(entry.route.aim, Duration::ZERO);
}

/// A record keeps its variant number, by which builds without latency objectives refuse it as a
/// whole instead of misreading the fields.
#[test]
fn record_body_variant_numbers_are_stable() {
    let route = Route { aim: Duration::from_millis(400), ..legacy_route().into() };
    let bytes = |body: &RecordBody| postcard::to_allocvec(body).unwrap();
    assert_eq!(bytes(&RecordBody::Route(legacy_route()))[0], 1);
    assert_eq!(bytes(&RecordBody::Outage)[0], 5);
    assert_eq!(bytes(&RecordBody::AimedRoute(route))[0], 6);
}
