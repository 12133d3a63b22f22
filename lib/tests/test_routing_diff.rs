//! Differences between routing documents, and what they mean for open flows.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use expect_test::{expect, Expect};
use hollyhead::directory::Directory;
use hollyhead::ids::Version;
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, Route, RoutedService, Routing, ServiceShare,
};
use hollyhead::route_table::{RouteLookup, RouteTable};
use hollyhead::routing_diff::{OpenFlows, RoutingDiff};
use proptest::prelude::*;
use tokio::time::Instant;

fn route(name: &str, port: u16) -> Route {
    Route {
        name: name.into(),
        address: std::net::SocketAddrV4::new([198, 18, 0, 1].into(), port),
        services: vec![ServiceShare { service: "mailroom".into(), weight: 9 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_millis(800),
        aim: Duration::ZERO,
    }
}

fn service(name: &str) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: "/health".into(),
        cold_time: Duration::from_secs(2),
        cold_flows_per_second: 3,
    }
}

fn in_force() -> Routing {
    Routing {
        version: 7,
        routes: vec![route("mail", 80), route("moves", 81)],
        services: vec![service("mailroom")],
        limits: FlowLimits { idle_timeout: Duration::from_secs(15) },
    }
}

/// Asserts the differences that a change to the routing in force makes, and the finding on its
/// version.
fn assert_differences(change: impl FnOnce(&mut Routing), expected: &Expect) {
    let mut document = Routing { version: 8, ..in_force() };
    change(&mut document);
    let diff = RoutingDiff::new(&in_force(), &document);
    let mut lines: Vec<_> = diff.differences.iter().map(ToString::to_string).collect();
    lines.extend(diff.finding().map(|it| format!("{}: {}: {}", it.severity, it.entry, it.problem)));
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn new_version_with_same_contents_has_no_difference() {
    assert_differences(|_| {}, &expect![""]);
    assert_differences(|it| it.version = 7, &expect![""]);
    assert_differences(|it| it.routes.reverse(), &expect![""]);
}

#[test]
fn removed_or_moved_route_resets_the_flows_of_its_address() {
    assert_differences(
        |it| it.routes = vec![route("mail", 82), route("new", 83)],
        &expect![[r#"
            route mail: moved from 198.18.0.1:80 to 198.18.0.1:82; open flows are reset
            route moves: removed from 198.18.0.1:81; open flows are reset
            route new: added at 198.18.0.1:83 (mailroom 9); no open flow is concerned"#]],
    );
}

#[test]
fn address_with_another_route_keeps_its_flows() {
    assert_differences(
        |it| it.routes[0].name = "post".into(),
        &expect![[r#"
            route mail: removed from 198.18.0.1:80; open flows are kept
            route post: added at 198.18.0.1:80 (mailroom 9); no open flow is concerned"#]],
    );
}

#[test]
fn changes_of_a_route_and_a_service_keep_flows() {
    assert_differences(
        |it| {
            it.routes[0] = Route {
                services: Vec::new(),
                timeout: Duration::from_secs(1),
                aim: Duration::from_millis(150),
                precedence: 2,
                is_idempotent: false,
                ..route("mail", 80)
            };
            it.services[0] = RoutedService {
                health_path: "/up".into(),
                cold_time: Duration::from_millis(1_500),
                cold_flows_per_second: 4,
                ..service("mailroom")
            };
            it.services.push(service("bundler"));
        },
        &expect![[r#"
            route mail: services changed from mailroom 9 to no service; open flows are kept
            route mail: timeout changed from 800ms to 1s; open flows are kept
            route mail: aim changed from none to 150ms; open flows are kept
            route mail: precedence changed from 1 to 2; open flows are kept
            route mail: retries changed from allowed to not allowed; open flows are kept
            service bundler: added; no open flow is concerned
            service mailroom: health path changed from /health to /up; open flows are kept
            service mailroom: cold time changed from 2s to 1.5s; open flows are kept
            service mailroom: new flows a second for cold targets changed from 3 to 4; open flows are kept"#]],
    );
}

#[test]
fn shorter_idle_timeout_may_drop_idle_flows() {
    assert_differences(
        |it| it.limits.idle_timeout = Duration::from_secs(5),
        &expect!["limits: idle timeout changed from 15s to 5s; open flows that are idle for longer may be dropped"],
    );
}

#[test]
fn lower_version_is_an_error() {
    assert_differences(
        |it| it.version = 6,
        &expect![
            "error: version: lower than 7, which is in force, so instances ignore the document"
        ],
    );
}

#[test]
fn same_version_with_other_contents_is_a_warning() {
    assert_differences(
        |it| {
            it.version = 7;
            it.services.clear();
        },
        &expect![[r#"
            service mailroom: removed; open flows are kept
            warning: version: 7 is in force with other contents; give the document a higher one"#]],
    );
}

/// Publishes a document at a version of the store, as a listing does at an instance.
fn publish(directory: &mut Directory, table: &mut RouteTable, routing: &Routing, version: Version) {
    let listed = routing.clone().into_records().into_iter();
    let listed = listed.map(|(name, body)| (name, version, body)).collect();
    let records: Vec<DirectoryRecord> = directory.differences(Part::Routing, version, listed);
    directory.merge(Part::Routing, records, Instant::now());
    table.rebuild(directory);
}

proptest! {
    /// The reset of open flows is announced for just those routes whose address an instance no
    /// longer routes.
    #[test]
    fn flows_that_an_instance_resets_are_announced(
        old in prop::collection::btree_map(0..6_u8, 80..84_u16, 0..5),
        new in prop::collection::btree_map(0..6_u8, 80..84_u16, 0..5),
    ) {
        let routes = |it: &std::collections::BTreeMap<u8, u16>| {
            it.iter().map(|(name, port)| route(&format!("r{name}"), *port)).collect()
        };
        let old = Routing { routes: routes(&old), ..in_force() };
        let new = Routing { version: 8, routes: routes(&new), ..in_force() };
        let (mut directory, mut table) = (Directory::default(), RouteTable::default());
        publish(&mut directory, &mut table, &old, 1);
        publish(&mut directory, &mut table, &new, 2);
        let is_removed =
            |route: &&Route| matches!(table.lookup(&route.address), RouteLookup::Removed);
        let removed = old.routes.iter().filter(is_removed).map(|it| format!("route {}", it.name));
        let differences = RoutingDiff::new(&old, &new).differences.into_iter();
        let reset = differences.filter(|it| it.open_flows == OpenFlows::Reset);
        let reset = reset.map(|it| it.entry.to_string());
        prop_assert_eq!(reset.collect::<Vec<_>>(), removed.collect::<Vec<_>>());
    }
}
