//! What a reader makes of the store's answers.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hollyhead::cold_share::ColdBound;
use hollyhead::cookie_door::CookieDoorSetup;
use hollyhead::cookie_instance::{CookieInstance, CookieInstanceSetup};
use hollyhead::directory_reader::follow;
use hollyhead::ids::{Cookie, TargetToken, Version};
use hollyhead::memory_network::MemoryNetwork;
use hollyhead::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use hollyhead::random::SeededRandom;
use hollyhead::route::{FlowLimits, Part, Route, Routing, ServiceShare};
use hollyhead::route_table::Lookup;
use hollyhead::segment::{Segment, SegmentError, SegmentForm};
use serde_json::Value;
use tokio::time::Instant;

const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const MOVES: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const FIRST: Version = 10;

/// A form that no packet of this test needs.
struct NoForm;

impl SegmentForm for NoForm {
    fn decode(&self, datagram: &[u8]) -> Result<Segment, SegmentError> {
        Err(SegmentError::Short { len: datagram.len() })
    }

    fn hand_over(&self, _: &[u8], _: TargetToken, _: Cookie, _: &mut Vec<u8>) {}

    fn reset(&self, _: &Segment, _: &mut Vec<u8>) {}

    fn caller_address(&self, caller: Ipv4Addr, flow_port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(caller, flow_port)
    }
}

/// A store whose first watch of the routing brings `changes` at once.
struct ScriptedStore {
    first: Object,
    changes: Vec<Object>,
}

impl ScriptedStore {
    fn answer(&self, kind: &str, after: Version) -> Option<Vec<Object>> {
        let is_routing = kind == Part::Routing.kind();
        (is_routing && after == FIRST).then(|| self.changes.clone())
    }
}

#[async_trait]
impl Platform for ScriptedStore {
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        let objects =
            if kind == Part::Routing.kind() { vec![self.first.clone()] } else { Vec::new() };
        Ok(Listing { version: FIRST, objects })
    }

    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        if let Some(objects) = self.answer(kinds[0], after) {
            let version = objects.iter().map(|object| object.version).max().unwrap();
            return Ok(Listing { version, objects });
        }
        tokio::time::sleep(timeout).await;
        Ok(Listing { version: after, objects: Vec::new() })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError> {
        Err(PlatformError::NotFound { kind: kind.into(), name: name.into() })
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        _: Value,
        _: Precondition,
    ) -> Result<Version, PlatformError> {
        Err(PlatformError::Conflict { kind: kind.into(), name: name.into() })
    }

    async fn delete(&self, _: &str, _: &str, _: Version) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        Ok(Vec::new())
    }
}

fn routing(version: u64, at: Version, routes: &[(SocketAddrV4, &str)]) -> Object {
    let route = |(address, service): &(SocketAddrV4, &str)| Route {
        name: address.to_string().into(),
        address: *address,
        services: vec![ServiceShare { service: (*service).into(), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(1),
    };
    let limits = FlowLimits { idle_timeout: Duration::from_secs(10) };
    let routes = routes.iter().map(route).collect();
    let body = Routing { version, routes, services: Vec::new(), limits };
    Object {
        kind: Part::Routing.kind().into(),
        name: "main".into(),
        version: at,
        body: Some(serde_json::to_value(body).unwrap()),
    }
}

fn instance() -> Arc<CookieInstance> {
    let random = Arc::new(SeededRandom::new(7));
    let network = MemoryNetwork::new(Arc::clone(&random) as _);
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let setup = CookieInstanceSetup {
        door: CookieDoorSetup {
            id: "entry-a-1".into(),
            data_centre: "a".into(),
            flow_key: [7; 16],
            cold: ColdBound { multiplier: 1.5, slack: 5 },
            outage_bound: Duration::from_secs(5),
        },
        epoch: 1,
        is_first_start: false,
        peer: address(7_720),
        flow_port: 8_172,
        peer_keys: vec![(0, [1; 32])],
        link_mbps: 100.0,
        seeds: Vec::new(),
        form: Arc::new(NoForm),
        random,
        flow_network: network.port(address(8_172)),
        peer_network: network.port(address(7_720)),
    };
    Arc::new(CookieInstance::new(setup, Instant::now()))
}

async fn follow_changes(first: Object, changes: Vec<Object>) -> Arc<CookieInstance> {
    let instance = instance();
    let store = Arc::new(ScriptedStore { first, changes });
    let reader = tokio::spawn(follow(Arc::clone(&instance), store));
    tokio::time::sleep(Duration::from_secs(3)).await;
    reader.abort();
    instance
}

fn service_of(instance: &CookieInstance, address: &SocketAddrV4) -> Option<String> {
    instance.with_door(|door| match door.routes().lookup(address) {
        Lookup::Route(entry) => Some(entry.route.services[0].service.to_string()),
        _ => None,
    })
}

#[tokio::test(start_paused = true)]
async fn watch_with_a_route_added_and_dropped_again_leaves_it_out() {
    let first = routing(1, FIRST, &[(FEEDS, "feeds")]);
    let with_moves = routing(2, 11, &[(FEEDS, "feeds"), (MOVES, "moves")]);
    let without = routing(3, 12, &[(FEEDS, "feeds")]);
    let instance = follow_changes(first, vec![with_moves, without]).await;
    assert_eq!(instance.with_door(|door| door.routes().version()), 3);
    assert_eq!(service_of(&instance, &MOVES), None);
}

#[tokio::test(start_paused = true)]
async fn watch_with_a_route_changed_and_changed_back_keeps_the_last_service() {
    let first = routing(1, FIRST, &[(FEEDS, "feeds")]);
    let changed = routing(2, 11, &[(FEEDS, "rosters")]);
    let changed_back = routing(3, 12, &[(FEEDS, "feeds")]);
    let instance = follow_changes(first, vec![changed, changed_back]).await;
    assert_eq!(service_of(&instance, &FEEDS).as_deref(), Some("feeds"));
}
