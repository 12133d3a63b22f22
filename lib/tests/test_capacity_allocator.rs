//! Tests that an allocator grants nothing to instances that are not owners or for outdated
//! requests, no new work to leaving targets, nothing in a data centre that is out of service, and
//! nothing at a reassigned address until the grants for its former target have expired.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::capacity_allocator::{CapacityAllocator, ClusterState};
use hollyhead::config::Config;
use hollyhead::grant::{Grant, GrantRequest, Holding};
use hollyhead::grant_ledger::Requester;
use hollyhead::platform::Object;
use hollyhead::target::Signals;
use hollyhead::view::View;
use testutils::gossip_fleet::{name, record, DATA_CENTRE};
use testutils::records;
use tokio::time::Instant;

const STEADY_FOR: Duration = Duration::from_secs(60);
const INITIAL_RUN_TIME: Duration = Duration::from_secs(8);

struct Fixture {
    now: Instant,
    allocator: CapacityAllocator,
    view: View,
    config: Config,
    nonce: u64,
    expected: usize,
    is_settled: bool,
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 7, 0, number], 6_080))
}

fn service(version: u64, service: &str) -> Object {
    records::object("service", version, records::service(service, address(250)))
}

fn target(version: u64, name: &str, service: &str, number: u8) -> Object {
    let body = records::target(name, service, DATA_CENTRE, address(number), address(number));
    records::object("target", version, body)
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            now: Instant::now(),
            allocator: CapacityAllocator::new(name(0), DATA_CENTRE.into(), 8),
            view: View::new(vec![record(0, 1)]),
            config: Config::default(),
            nonce: 0,
            expected: 1,
            is_settled: true,
        };
        fixture.apply(&[service(1, "quaydesk"), service(2, "rosterbook")]);
        fixture.apply(&[target(3, "quaydesk-1", "quaydesk", 1)]);
        fixture.run_for(INITIAL_RUN_TIME);
        fixture
    }

    fn apply(&mut self, objects: &[Object]) {
        self.config = self.config.apply(objects).0;
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(250);
            self.ask("quaydesk", "quaydesk-1");
        }
    }

    fn ask(&mut self, service: &str, target: &str) -> Option<Grant> {
        self.nonce += 1;
        self.ask_as(0, self.nonce, service, target)
    }

    fn ask_as(&mut self, index: usize, nonce: u64, service: &str, target: &str) -> Option<Grant> {
        let holding = Holding {
            target: target.into(),
            connections: 0,
            slots: 0,
            open: 0,
            running: 0,
            waiting: 5,
            warm_up_per_mille: None,
            signals: Signals::default(),
        };
        let req = GrantRequest {
            service: service.into(),
            nonce,
            first_nonce: 1,
            answered_nonce: Some(nonce - 1),
            steady_for: STEADY_FOR,
            holdings: vec![holding],
        };
        let cluster = ClusterState {
            view: &self.view,
            config: &self.config,
            expected: Some(self.expected),
            is_settled: self.is_settled,
        };
        let requester = Requester { id: name(index), epoch: 1 };
        let reply = self.allocator.answer(&requester, &req, &cluster, self.now)?;
        reply.grants.into_iter().find(|grant| grant.index == 0)
    }
}

#[test]
fn answer_sole_owner_gets_slots() {
    let grant = Fixture::new().ask("quaydesk", "quaydesk-1").unwrap();
    assert!(grant.slots >= 1 && !grant.term.new_work_lifetime().is_zero());
}

#[test]
fn answer_unsettled_gives_nothing() {
    let mut fixture = Fixture::new();
    fixture.is_settled = false;
    assert_eq!(fixture.ask("quaydesk", "quaydesk-1"), None);
}

#[test]
fn answer_stranger_or_late_question_gives_nothing() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.ask_as(5, 1_000, "quaydesk", "quaydesk-1"), None);
    assert_eq!(fixture.ask_as(0, 1, "quaydesk", "quaydesk-1"), None);
}

#[test]
fn answer_unheard_instances_scale_down() {
    let mut fixture = Fixture::new();
    fixture.run_for(Duration::from_secs(10));
    assert_eq!(fixture.ask("quaydesk", "quaydesk-1").unwrap().slots, 2);
    fixture.expected = 2;
    let grant = fixture.ask("quaydesk", "quaydesk-1").unwrap();
    assert_eq!(grant.slots, 1);
    assert!(grant.connections <= 1_000);
}

#[test]
fn answer_leaving_target_gets_no_new_work() {
    let mut fixture = Fixture::new();
    let mut object = target(10, "quaydesk-1", "quaydesk", 1);
    object.body.as_mut().unwrap()["state"] = "leaving".into();
    fixture.apply(&[object]);
    let grant = fixture.ask("quaydesk", "quaydesk-1").unwrap();
    assert_eq!((grant.slots, grant.connections), (0, 0));
    assert!(grant.term.new_work_lifetime().is_zero() && !grant.term.open_flow_lifetime().is_zero());
}

#[test]
fn answer_data_centre_out_gets_nothing_and_returns_cold() {
    let mut fixture = Fixture::new();
    fixture.run_for(Duration::from_secs(20));
    let state = |version, state| {
        let body = records::data_centre(DATA_CENTRE, "horn-east", state);
        records::object("data_centre", version, body)
    };
    fixture.apply(&[state(10, "out")]);
    let grant = fixture.ask("quaydesk", "quaydesk-1").unwrap();
    assert!(
        grant.slots == 0
            && grant.term.new_work_lifetime().is_zero()
            && grant.term.open_flow_lifetime().is_zero()
    );
    fixture.apply(&[state(11, "in")]);
    let grant = fixture.ask("quaydesk", "quaydesk-1").unwrap();
    assert_eq!((grant.slots, grant.connections), (1, 50));
}

#[test]
fn answer_address_changed_hands_waits_for_old_grants() {
    let mut fixture = Fixture::new();
    let changed_at = fixture.now;
    let gone = Object { body: None, ..target(10, "quaydesk-1", "quaydesk", 1) };
    fixture.apply(&[gone, target(11, "rosterbook-1", "rosterbook", 1)]);
    let mut first = None;
    while first.is_none() {
        fixture.now += Duration::from_millis(250);
        let grant = fixture.ask("rosterbook", "rosterbook-1").unwrap();
        first = (grant.slots > 0).then_some(fixture.now);
        assert!(fixture.now < changed_at + Duration::from_secs(20));
    }
    assert!(first.unwrap() >= changed_at + Duration::from_secs(4));
}

#[test]
fn answer_target_moved_to_other_service_waits_for_old_grants() {
    let mut fixture = Fixture::new();
    let changed_at = fixture.now;
    fixture.apply(&[target(10, "quaydesk-1", "rosterbook", 1)]);
    while fixture.now < changed_at + Duration::from_millis(3_500) {
        fixture.now += Duration::from_millis(250);
        let grant = fixture.ask("rosterbook", "quaydesk-1").unwrap();
        assert!(
            grant.slots == 0 && grant.connections == 0 && grant.term.new_work_lifetime().is_zero()
        );
    }
}
