//! Tests that grants stay within a target's capacity while two instances act as allocator of one
//! service at the same time and owners switch between them.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::capacity_allocator::{CapacityAllocator, ClusterState};
use hollyhead::config::Config;
use hollyhead::grant::{GrantClient, GrantReply, GrantRequest, Holding};
use hollyhead::grant_ledger::Requester;
use hollyhead::ids::InstanceId;
use hollyhead::owner::allocator_of;
use hollyhead::random::{Random, SeededRandom};
use hollyhead::target::{Signals, TargetHandle};
use hollyhead::view::{Member, View};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use testutils::gossip_fleet::{record, DATA_CENTRE};
use testutils::records;
use tokio::time::Instant;

const OWNERS: usize = 4;
const SERVICE: &str = "quaydesk";
const TARGET: &str = "quaydesk-1";
const SLOTS: u32 = 5;
const CONNECTIONS: u32 = 100;
const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 1_200;
const DELAY_STEPS: u64 = 8;

struct Owner {
    id: InstanceId,
    client: GrantClient,
    handle: TargetHandle,
    allocator: usize,
}

struct AllocatorPair {
    now: Instant,
    random: SeededRandom,
    config: Config,
    views: [View; 2],
    ids: [InstanceId; 2],
    allocators: [CapacityAllocator; 2],
    owners: Vec<Owner>,
    requests: Vec<(Instant, usize, usize, GrantRequest)>,
    replies: Vec<(Instant, usize, usize, GrantReply)>,
}

fn config() -> Config {
    let address = SocketAddr::from(([10, 7, 0, 1], 6_080));
    let mut service = records::service(SERVICE, address);
    service["cold_start"] =
        serde_json::json!({ "slots": SLOTS, "connections": CONNECTIONS, "ramp_ms": 1 });
    let mut target = records::target(TARGET, SERVICE, DATA_CENTRE, address, address);
    target["slots"] = SLOTS.into();
    target["connections"] = CONNECTIONS.into();
    let objects = [records::object("service", 1, service), records::object("target", 2, target)];
    Config::default().apply(&objects).0
}

impl AllocatorPair {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let config = config();
        let members: Vec<Member> = (0..OWNERS).map(|index| record(index, 1)).collect();
        let full_view = View::new(members.clone());
        let first = allocator_of(&full_view, SERVICE, DATA_CENTRE).unwrap();
        let partial_view = View::new(members.iter().filter(|it| it.id != first).cloned().collect());
        let second = allocator_of(&partial_view, SERVICE, DATA_CENTRE).unwrap();
        let ids = [first, second];
        let allocator =
            |id: &InstanceId| CapacityAllocator::new(id.clone(), DATA_CENTRE.into(), OWNERS);
        let target = config.target(TARGET).unwrap().clone();
        let owner = |member: &Member| Owner {
            id: member.id.clone(),
            client: GrantClient::default(),
            handle: TargetHandle::new(&target, now),
            allocator: 0,
        };
        Self {
            now,
            random: SeededRandom::new(seed),
            views: [full_view, partial_view],
            allocators: [allocator(&ids[0]), allocator(&ids[1])],
            ids,
            owners: members.iter().map(owner).collect(),
            config,
            requests: Vec::new(),
            replies: Vec::new(),
        }
    }

    fn step(&mut self, switches_per_mille: u64) {
        self.now += STEP;
        for index in 0..OWNERS {
            self.step_owner(index, switches_per_mille);
        }
        self.deliver_requests();
        self.deliver_replies();
    }

    fn step_owner(&mut self, index: usize, switches_per_mille: u64) {
        let switches = self.random.below(1_000) < switches_per_mille;
        let changes_demand = self.random.below(100) < 5;
        let waiting = self.random.below(20) as u32;
        let (now, at) = (self.now, self.arrival_time());
        let owner = &mut self.owners[index];
        if switches {
            owner.allocator = 1 - owner.allocator;
        }
        if changes_demand {
            owner.handle.set_waiting_requests(waiting);
        }
        let allocator = &self.ids[owner.allocator];
        if !owner.client.is_due(SERVICE, allocator, now) {
            return;
        }
        let holdings = vec![holding(&owner.handle, now)];
        let req = owner.client.next_request(&SERVICE.into(), allocator, holdings, now);
        self.requests.push((at, index, owner.allocator, req));
    }

    /// Returns the time at which a message sent now arrives. One message in ten is lost: it arrives
    /// after the end of the test.
    fn arrival_time(&self) -> Instant {
        if self.random.below(10) == 0 {
            return self.now + Duration::from_secs(3_600);
        }
        self.now + STEP * self.random.below(DELAY_STEPS) as u32
    }

    fn deliver_requests(&mut self) {
        let now = self.now;
        let (due, rest) = self.requests.drain(..).partition(|(at, ..)| *at <= now);
        self.requests = rest;
        for (_, index, allocator, req) in due {
            let cluster = ClusterState {
                view: &self.views[allocator],
                config: &self.config,
                expected: Some(OWNERS),
                is_settled: true,
            };
            let requester = Requester { id: self.owners[index].id.clone(), epoch: 1 };
            if let Some(reply) = self.allocators[allocator].answer(&requester, &req, &cluster, now)
            {
                self.replies.push((self.arrival_time(), index, allocator, reply));
            }
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        let (due, rest) = self.replies.drain(..).partition(|(at, ..)| *at <= now);
        self.replies = rest;
        for (_, index, allocator, reply) in due {
            let owner = &mut self.owners[index];
            for accepted in owner.client.accept(&self.ids[allocator], &reply) {
                owner.handle.allow(&accepted.allowance);
            }
        }
    }

    fn usable(&self) -> (u32, u32) {
        let holders = self.owners.iter().filter(|owner| owner.handle.accepts_new_work(self.now));
        holders.fold((0, 0), |(slots, connections), owner| {
            (slots + owner.handle.slots(), connections + owner.handle.connections())
        })
    }
}

fn holding(handle: &TargetHandle, now: Instant) -> Holding {
    let in_force = u32::from(handle.accepts_new_work(now));
    Holding {
        target: TARGET.into(),
        connections: handle.connections() * in_force,
        slots: handle.slots() * in_force,
        open: 0,
        running: 0,
        waiting: handle.waiting_requests(),
        warm_up_per_mille: None,
        signals: Signals::default(),
    }
}

#[test]
fn answer_owners_waver_between_two_sum_stays_within_bounds() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let check = |(seed, switches_per_mille): (u64, u64)| {
        let mut pair = AllocatorPair::new(seed);
        for step in 0..STEPS {
            pair.step(switches_per_mille);
            let (slots, connections) = pair.usable();
            prop_assert!(slots <= SLOTS, "step {}: {} slots", step, slots);
            prop_assert!(connections <= CONNECTIONS, "step {}: {} connections", step, connections);
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&(any::<u64>(), 0..60u64), check).unwrap();
}

#[test]
fn answer_steady_owners_get_everything() {
    let mut pair = AllocatorPair::new(1);
    (0..400).for_each(|_| pair.step(0));
    let (slots, connections) = pair.usable();
    assert!(
        slots >= SLOTS - 1 && connections >= CONNECTIONS / 2,
        "{slots} slots, {connections} connections"
    );
}
