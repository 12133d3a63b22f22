//! Handling of the store's answers by a reader.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hollyhead::cookie_instance::CookieInstance;
use hollyhead::directory_message::{DirectoryMessage, PartStatus};
use hollyhead::directory_reader;
use hollyhead::envelope::Sealer;
use hollyhead::ids::Version;
use hollyhead::memory_network::MemoryNetwork;
use hollyhead::message::{Frame, Message};
use hollyhead::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use hollyhead::random::SeededRandom;
use hollyhead::reader_election::HEARTBEAT_INTERVAL;
use hollyhead::route::{FlowLimits, Part, Route, Routing, ServiceShare};
use hollyhead::route_table::RouteLookup;
use serde_json::Value;
use testutils::cookie_fleet::instance_setup;
use tokio::time::Instant;

const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const MOVES: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const FIRST: Version = 10;

/// A store whose first watch of the routing returns `changes` immediately.
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
        aim: Duration::ZERO,
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
    let network = MemoryNetwork::new(Arc::new(SeededRandom::new(7)));
    let setup = instance_setup(0, 100.0, |address| network.port(address));
    Arc::new(CookieInstance::new(setup, Instant::now()))
}

async fn follow_changes(first: Object, changes: Vec<Object>) -> Arc<CookieInstance> {
    let instance = instance();
    let store = Arc::new(ScriptedStore { first, changes });
    let reader = tokio::spawn(directory_reader::run(Arc::clone(&instance), store));
    tokio::time::sleep(Duration::from_secs(6)).await;
    reader.abort();
    instance
}

fn service_of(instance: &CookieInstance, address: &SocketAddrV4) -> Option<String> {
    instance.with_forwarder(|forwarder| match forwarder.routes().lookup(address) {
        RouteLookup::Route(entry) => Some(entry.route.services[0].service.to_string()),
        _ => None,
    })
}

#[tokio::test(start_paused = true)]
async fn watch_with_a_route_added_and_dropped_again_leaves_it_out() {
    let first = routing(1, FIRST, &[(FEEDS, "feeds")]);
    let with_moves = routing(2, 11, &[(FEEDS, "feeds"), (MOVES, "moves")]);
    let without = routing(3, 12, &[(FEEDS, "feeds")]);
    let instance = follow_changes(first, vec![with_moves, without]).await;
    assert_eq!(instance.with_forwarder(|forwarder| forwarder.routes().version()), 3);
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

/// Sends heartbeats of another instance to `instance` for longer than the longest election timeout, and
/// returns whether it still leaves the reading to the sender.
fn follows(message: impl Fn(Vec<PartStatus>) -> DirectoryMessage) -> bool {
    let instance = instance();
    let sealer = Sealer::new("entry-other".into(), 1, vec![(0, [1; 32])]);
    let status = PartStatus { complete: FIRST, changed: FIRST, age: Duration::ZERO };
    let start = Instant::now();
    let mut now = start;
    while now < start + Duration::from_secs(10) {
        let message = Message::Directory(message(vec![status; Part::ALL.len()]));
        let body = Frame::Control(message).encode().unwrap();
        let from = ([10, 1, 0, 99], 7_720).into();
        instance.on_peer_datagram(now, from, &sealer.seal(&body));
        now += HEARTBEAT_INTERVAL;
    }
    !instance.should_start_reading(now)
}

/// Guards against a reader of the previous build that holds all others back after a restore of the
/// store: it compares bare revisions, and the others would wait for it.
#[tokio::test(start_paused = true)]
async fn on_heartbeat_of_a_build_without_eras_is_ignored() {
    assert!(follows(|parts| DirectoryMessage::Heartbeat { parts }));
    assert!(!follows(|parts| DirectoryMessage::Reading { parts }));
}
