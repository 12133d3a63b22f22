//! Measures the time until a change is in force at every instance of a large data centre, on the
//! paused clock.
//!
//! Only the propagation between instances takes part: one of 473 instances of a data centre
//! receives the change and publishes it to the others.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::config_gossip::{ConfigGossip, Outgoing};
use hollyhead::config_message::ConfigMessage;
use hollyhead::config_store::ConfigStore;
use hollyhead::random::{Random, SeededRandom};
use hollyhead::view::{Member, MemberState, View};
use testutils::records;
use tokio::time::{advance, Instant};

const INSTANCE_COUNT: u16 = 473;
/// Latency of each message between two instances, which is also the step of the simulated time.
const LINK_LATENCY: Duration = Duration::from_millis(1);
/// Number of time steps between two ticks of an instance.
const TICK_INTERVAL_STEPS: u32 = 50;
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);

struct Fleet {
    view: View,
    stores: Vec<ConfigStore>,
    random: SeededRandom,
    loss_per_mille: u64,
    in_flight: Vec<(usize, Outgoing)>,
    sent_bytes: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 8, 0, 1], 10_000 + index as u16))
}

fn instance_name(index: usize) -> String {
    format!("i{index:03}")
}

impl Fleet {
    fn new(loss_per_mille: u64) -> Self {
        let member = |index| Member {
            id: instance_name(index).into(),
            data_centre: "a".into(),
            peer: address(index),
            request: address(index),
            epoch: 1,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let store = |index| {
            let random = Arc::new(SeededRandom::new(index as u64));
            ConfigStore::new(ConfigGossip::new(instance_name(index).into(), "a".into(), 1, random))
        };
        let indices = 0..usize::from(INSTANCE_COUNT);
        Self {
            view: View::new(indices.clone().map(member).collect()),
            stores: indices.map(store).collect(),
            random: SeededRandom::new(1),
            loss_per_mille,
            in_flight: Vec::new(),
            sent_bytes: 0,
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for (to, message) in outgoing {
            self.sent_bytes += encoded_bytes(&message);
            if self.random.below(1_000) >= self.loss_per_mille {
                self.in_flight.push((from, (to, message)));
            }
        }
    }

    fn deliver(&mut self) {
        for (from, (to, message)) in std::mem::take(&mut self.in_flight) {
            let index = usize::from(to.port() - 10_000);
            let (now, sender) = (Instant::now(), instance_name(from).into());
            let store = &self.stores[index];
            let outgoing = store.handle(now, &self.view, &sender, address(from), message);
            self.send(index, outgoing);
        }
    }

    /// Ticks the instances that are due; their ticks are spread evenly over the interval.
    fn tick(&mut self, step: u32) {
        for index in (0..self.stores.len())
            .filter(|i| *i as u32 % TICK_INTERVAL_STEPS == step % TICK_INTERVAL_STEPS)
        {
            let outgoing = self.stores[index].tick(Instant::now(), &self.view);
            self.send(index, outgoing);
        }
    }

    /// Runs until every instance has all changes up to `version`, or the time limit has passed.
    /// Returns the sorted times of the instances that have them.
    async fn run_until(&mut self, version: u64) -> Vec<Duration> {
        let start = Instant::now();
        let mut reached = BTreeMap::new();
        for step in 0.. {
            for (index, store) in self.stores.iter().enumerate() {
                if store.complete_version() >= version {
                    reached.entry(index).or_insert_with(|| start.elapsed());
                }
            }
            if reached.len() == self.stores.len() || start.elapsed() > MAX_PROPAGATION_TIME {
                break;
            }
            advance(LINK_LATENCY).await;
            self.deliver();
            self.tick(step);
        }
        let mut times: Vec<_> = reached.into_values().collect();
        times.sort();
        times
    }

    fn publish(&mut self, version: u64) {
        let body = records::data_centre("b", "r", "out");
        let object = records::object("data_centre", version, body);
        let store = &self.stores[7];
        let outgoing = store.publish(Instant::now(), &self.view, &[object], Some(version));
        self.send(7, outgoing);
    }
}

fn encoded_bytes(message: &ConfigMessage) -> usize {
    let message = hollyhead::message::Message::Config(message.clone());
    hollyhead::message::Frame::Control(message).encode().unwrap().len()
        + hollyhead::envelope::overhead_bytes(instance_name(0).len())
}

async fn measure(loss_per_mille: u64) -> Vec<Duration> {
    let mut fleet = Fleet::new(loss_per_mille);
    fleet.publish(1);
    fleet.run_until(1).await;
    let before = fleet.sent_bytes;
    let start = Instant::now();
    fleet.run_until(u64::MAX).await;
    let idle = (fleet.sent_bytes - before) as f64 / f64::from(INSTANCE_COUNT);
    println!("idle: {:.0} bytes/s per instance", idle / start.elapsed().as_secs_f64());
    let before = fleet.sent_bytes;
    fleet.publish(2);
    let times = fleet.run_until(2).await;
    let spent = (fleet.sent_bytes - before) / usize::from(INSTANCE_COUNT);
    let p99 = times[times.len() * 99 / 100];
    println!("loss {loss_per_mille}/1000: p99 {p99:?}, all {:?}", times[times.len() - 1]);
    println!("one change: {spent} bytes per instance, comparisons included");
    times
}

#[tokio::test(start_paused = true)]
async fn publish_473_instances_is_in_force_in_time() {
    let times = measure(0).await;
    assert_eq!(times.len(), usize::from(INSTANCE_COUNT));
    assert!(times[times.len() * 99 / 100] < Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn publish_473_instances_with_loss_is_in_force_in_time() {
    let times = measure(50).await;
    assert_eq!(times.len(), usize::from(INSTANCE_COUNT));
}
