//! Tests that a changed routing reaches all instances in time when one of them reads it from the
//! store and the links between them have little bandwidth.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::route::{FlowLimits, Part, Route, Routing, ServiceShare};
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::CookieFleet;

/// Link of the smallest instances: 10 Mbit/s, with a queue that holds 0.1 s of traffic.
const SMALL_LINK: LinkLimits = LinkLimits { bytes_per_second: 1_250_000, queue_bytes: 125_000 };
const INSTANCES: usize = 86;
const ROUTES: u16 = 245;
const MANY_ROUTES: u16 = 1_446;
/// Time within which a configuration must be in force at all instances.
const IN_FORCE_DEADLINE: Duration = Duration::from_secs(5);

fn routing(version: u64, routes: u16) -> serde_json::Value {
    let route = |number: u16| Route {
        name: format!("route-{number}").into(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 1_000 + number),
        services: vec![ServiceShare { service: "mailroom".into(), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(2),
    };
    let limits = FlowLimits { idle_timeout: Duration::from_secs(10) };
    let routes = (0..routes).map(route).collect();
    serde_json::to_value(Routing { version, routes, services: Vec::new(), limits }).unwrap()
}

async fn settled_fleet() -> CookieFleet {
    let mut fleet = CookieFleet::start(INSTANCES, SMALL_LINK);
    fleet.platform().force_put(Part::Routing.kind(), "main", routing(1, ROUTES));
    fleet.run_for(Duration::from_secs(12)).await;
    assert_eq!(fleet.count_with_routing(1), INSTANCES);
    fleet
}

#[tokio::test(start_paused = true)]
async fn routing_with_many_new_routes_is_everywhere_in_time() {
    let mut fleet = settled_fleet().await;
    fleet.platform().force_put(Part::Routing.kind(), "main", routing(2, MANY_ROUTES));
    fleet.run_for(IN_FORCE_DEADLINE).await;
    assert_eq!(fleet.count_with_routing(2), INSTANCES);
}

#[tokio::test(start_paused = true)]
async fn routing_changed_in_quick_succession_is_everywhere_in_time() {
    let mut fleet = settled_fleet().await;
    for version in 2..8 {
        let routes = if version == 2 { MANY_ROUTES } else { ROUTES + version as u16 };
        fleet.platform().force_put(Part::Routing.kind(), "main", routing(version, routes));
        fleet.run_for(Duration::from_millis(400)).await;
    }
    fleet.run_for(IN_FORCE_DEADLINE - Duration::from_millis(400)).await;
    assert_eq!(fleet.count_with_routing(7), INSTANCES);
}
