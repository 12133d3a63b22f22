//! Replays a recorded trace through a fleet of kernels and checks it against outcome bounds.
//!
//! Each simulated target answers every packet with one reply through its tunnel. All random choices
//! derive from the seed of the trace, so a replay of the same trace always gives the same report.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;

use serde_json::Value;
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::entry::LEAVE_RELAY_TIME;
use crate::explain::explain;
use crate::fleet::{Fleet, EGRESS};
use crate::flow::FlowKey;
use crate::ids::InstanceId;
use crate::memory_network::{Datagram, LinkQuality};
use crate::outcome_bounds::OutcomeBounds;
use crate::packet::{self, Control};
use crate::platform::Object;
use crate::random::{Random, SeededRandom};
use crate::replay_callers::{Callers, FlowStep};
use crate::replay_config::ConfigPropagation;
use crate::replay_judge::{imbalance, Arrival, Judge};
use crate::replay_report::{Outcome, OutcomeName, OutcomeState, ReplayReport};
use crate::replay_world::{Millis, World};
use crate::trace_file::{NetworkEvent, OpenEvent, PacketEvent, Trace, TraceEvent};

/// Simulated time that one step of a replay covers.
const STEP_MS: Millis = 10;
/// Simulated time for which a replay continues after the last event of the trace.
const TAIL_MS: Millis = 6_000;
/// Delay between the opening of the last flow of a group and the measurement of the group's
/// imbalance.
const SETTLE_MS: Millis = 2_000;
/// Interval between two checks for undelivered packets and for excess control traffic. The bound on
/// control traffic is in bytes per second, so each check must cover one second.
const CHECK_INTERVAL_MS: Millis = 1_000;
const PAYLOAD: &[u8] = b"data";
const NO_DECISIONS: fn(&FlowKey) -> Vec<String> = |_| Vec::new();

/// Replays a trace and reports how its outcomes compare with `bounds`.
///
/// The clock of the Tokio runtime must be paused, since the replay advances it step by step.
///
/// # Panics
///
/// Panics when the clock is not paused.
pub async fn replay(trace: &Trace, bounds: OutcomeBounds) -> ReplayReport {
    let mut replay = Replay::new(trace, bounds);
    let end = trace.lines.last().map_or(0, |line| line.at_ms) + TAIL_MS;
    let mut next = 0;
    while replay.now <= end {
        while let Some(line) = trace.lines.get(next).filter(|line| line.at_ms <= replay.now) {
            next += 1;
            replay.judge.record_event(next + 1, line);
            replay.on_event(&line.event);
        }
        replay.step().await;
    }
    replay.report(trace)
}

struct Replay {
    fleet: Fleet,
    random: SeededRandom,
    now: Millis,
    version: u64,
    world: World,
    callers: Callers,
    judge: Judge,
    config: ConfigPropagation,
    /// Times at which instances that announced their planned stop end.
    leaving_until: BTreeMap<InstanceId, Millis>,
    instances_by_ip: BTreeMap<IpAddr, InstanceId>,
    control_meters: BTreeMap<InstanceId, ControlMeter>,
    /// Groups whose imbalance is not measured yet, keyed by the time of the measurement; the value
    /// is the time at which the group began to open flows.
    due_groups: BTreeMap<(Millis, SmolStr), Millis>,
    imbalance: BTreeMap<SmolStr, u64>,
    counts: PacketCounts,
    /// Digest of all packets that left the fleet, which shows whether two replays were identical.
    digest: SipHasher13,
}

#[derive(Default)]
struct ControlMeter {
    total_bytes: u64,
    peak_bytes_per_second: u64,
}

#[derive(Default)]
struct PacketCounts {
    sent: u64,
    delivered: u64,
    replies: u64,
    given_up: u64,
}

impl Replay {
    fn new(trace: &Trace, bounds: OutcomeBounds) -> Self {
        Self {
            fleet: Fleet::new(trace.header.seed),
            random: SeededRandom::new(trace.header.seed),
            now: 0,
            version: 0,
            world: World::default(),
            callers: Callers::default(),
            judge: Judge::new(bounds),
            config: ConfigPropagation::default(),
            leaving_until: BTreeMap::new(),
            instances_by_ip: BTreeMap::new(),
            control_meters: BTreeMap::new(),
            due_groups: BTreeMap::new(),
            imbalance: BTreeMap::new(),
            counts: PacketCounts::default(),
            digest: SipHasher13::new(),
        }
    }

    fn on_event(&mut self, event: &TraceEvent) {
        match event {
            TraceEvent::Put(put) => {
                let name = put.body["name"].as_str().unwrap_or_default().into();
                self.write_object(put.kind.clone(), name, Some(put.body.clone()), put.spread_ms);
            }
            TraceEvent::Delete(delete) => {
                self.write_object(delete.kind.clone(), delete.name.clone(), None, delete.spread_ms);
            }
            TraceEvent::Start(start) => {
                self.fleet.start(&start.instance, &start.data_centre);
                if let Some(ip) = self.fleet.ip(&start.instance) {
                    self.instances_by_ip.insert(ip, start.instance.clone());
                }
            }
            TraceEvent::Kill(event) => self.kill(&event.instance),
            TraceEvent::Freeze(event) => {
                self.fleet.freeze(&event.instance);
                self.config.freeze(&event.instance);
            }
            TraceEvent::Thaw(event) => {
                self.fleet.thaw(&event.instance);
                self.config.thaw(&event.instance);
            }
            TraceEvent::Leave(event) => self.leave(&event.instance),
            TraceEvent::Cut(cut) => {
                let names = |group: &[InstanceId]| group.to_vec();
                let (a, b) = (names(&cut.a), names(&cut.b));
                let a: Vec<_> = a.iter().map(InstanceId::as_str).collect();
                let b: Vec<_> = b.iter().map(InstanceId::as_str).collect();
                self.fleet.cut(&a, &b);
            }
            TraceEvent::Heal => self.fleet.network().heal(),
            TraceEvent::Network(event) => self.fleet.network().set_quality(quality(event)),
            TraceEvent::Packet(event) => self.send_packet(event),
            TraceEvent::Open(open) => self.open(open),
            TraceEvent::Close(close) => self.callers.close(self.now, close),
            TraceEvent::Cold(cold) => self.world.set_cold(self.now, cold),
        }
    }

    fn open(&mut self, open: &OpenEvent) {
        self.callers.open(self.now, open);
        let measure_at = self.now + open.over_ms + SETTLE_MS;
        self.due_groups.insert((measure_at, open.group.clone()), self.now);
    }

    fn measure_groups(&mut self) {
        let later = self.due_groups.split_off(&(self.now + 1, SmolStr::default()));
        for ((_, group), since) in std::mem::replace(&mut self.due_groups, later) {
            let Some(measured) = imbalance(&self.world, &self.callers, &group, since) else {
                continue;
            };
            let bounds = self.judge.bounds();
            let is_bounded = bounds.imbalance_groups.contains(&group);
            if is_bounded && measured > bounds.imbalance_per_mille {
                let description =
                    format!("group {group} has an imbalance of {measured} thousandths");
                let name = OutcomeName::ImbalancePerMille;
                self.judge.record_miss(name, self.now, description, None, &NO_DECISIONS);
            }
            self.imbalance.insert(group, measured);
        }
    }

    fn write_object(
        &mut self,
        kind: SmolStr,
        name: SmolStr,
        body: Option<Value>,
        spread_ms: Millis,
    ) {
        self.version += 1;
        let object = Object { kind, name, version: self.version, body };
        self.world.apply(self.now, &object);
        self.abandon_flows();
        self.fleet.add_initial_object(&object);
        let instances: Vec<_> = self.fleet.kernels().map(|kernel| kernel.id().clone()).collect();
        self.config.publish(self.now, &object, &instances, spread_ms, &self.random);
    }

    fn abandon_flows(&mut self) {
        let targets = self.world.targets_out_of_service();
        self.counts.given_up +=
            self.callers.abandon(self.now, &self.random, |target| targets.contains(target));
    }

    fn kill(&mut self, name: &str) {
        self.fleet.kill(name);
        self.config.remove_instance(name);
        self.fleet.update_instances();
    }

    fn leave(&mut self, name: &InstanceId) {
        if let Some(kernel) = self.fleet.kernel(name) {
            kernel.leave(Instant::now());
            let until = self.now + LEAVE_RELAY_TIME.as_millis() as Millis;
            self.leaving_until.insert(name.clone(), until);
        }
    }

    fn kill_departed(&mut self) {
        let ended: Vec<_> = self
            .leaving_until
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(id, _)| id.clone())
            .collect();
        for name in ended {
            self.leaving_until.remove(&name);
            self.kill(&name);
        }
    }

    fn send_packet(&mut self, event: &PacketEvent) {
        let key =
            FlowKey { protocol: event.protocol, caller: event.caller, service: event.service };
        let control =
            Control { opens: event.opens, finishes: event.finishes, resets: event.resets };
        let index = self.callers.find_or_add(self.now, key);
        let receiver = event.at.clone().or_else(|| self.random_instance());
        self.send(index, control, receiver);
    }

    async fn step(&mut self) {
        self.kill_departed();
        for (instance, objects) in self.config.take_due(self.now) {
            self.fleet.apply_to(&instance, &objects);
        }
        for (index, control) in self.callers.take_due(self.now) {
            let receiver = self.random_instance();
            self.send(index, control, receiver);
        }
        self.fleet.run_for(Duration::from_millis(STEP_MS)).await;
        self.now += STEP_MS;
        for datagram in self.fleet.take_outbox() {
            self.on_outgoing_datagram(&datagram);
        }
        if self.now % CHECK_INTERVAL_MS == 0 {
            self.check_all();
        }
    }

    fn random_instance(&self) -> Option<InstanceId> {
        let count = self.fleet.kernels().count() as u64;
        let index = self.random.below(count) as usize;
        self.fleet.kernels().nth(index).map(|kernel| kernel.id().clone())
    }

    fn send(&mut self, index: usize, control: Control, receiver: Option<InstanceId>) {
        let flow = self.callers.flow_mut(index);
        let payload = if control.opens { &[] } else { PAYLOAD };
        let (Ok(packet), Some(instance)) = (packet::build(&flow.key, control, payload), receiver)
        else {
            return;
        };
        flow.record_step(FlowStep::Sent { at_ms: self.now, instance: instance.clone() });
        self.counts.sent += 1;
        self.fleet.inject(&instance, &packet);
    }

    fn on_outgoing_datagram(&mut self, datagram: &Datagram) {
        self.digest.write_u64(self.now);
        (datagram.from, datagram.to).hash(&mut self.digest);
        self.digest.write(&datagram.bytes);
        if datagram.to == EGRESS {
            self.counts.replies += 1;
            return;
        }
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let Some(instance) = self.instances_by_ip.get(&datagram.from.ip()).cloned() else { return };
        self.counts.delivered += 1;
        let fleet = &self.fleet;
        let arrival =
            Arrival { now: self.now, instance: &instance, tunnel: datagram.to, key: info.key };
        let decisions = |key: &FlowKey| decisions(fleet, key);
        self.judge.on_arrival(&arrival, &mut self.world, &mut self.callers, &decisions);
        if let Ok(reply) = packet::build(&info.key.reversed(), Control::default(), PAYLOAD) {
            self.fleet.inject_reply(&instance, datagram.to, &reply);
        }
    }

    fn check_all(&mut self) {
        let fleet = &self.fleet;
        let decisions = |key: &FlowKey| decisions(fleet, key);
        self.judge.check_all(self.now, &self.world, &mut self.callers, &decisions);
        self.abandon_flows();
        self.measure_groups();
        self.measure_control();
    }

    fn measure_control(&mut self) {
        let bound = self.judge.bounds().control_bytes_per_second;
        for kernel in self.fleet.kernels() {
            let Some(ip) = self.fleet.ip(kernel.id()) else { continue };
            let total = self.fleet.network().control_bytes(ip);
            let meter = self.control_meters.entry(kernel.id().clone()).or_default();
            let sent = total - meter.total_bytes;
            meter.total_bytes = total;
            meter.peak_bytes_per_second = meter.peak_bytes_per_second.max(sent);
            if sent > bound {
                let description = format!("{} sent {sent} control bytes in a second", kernel.id());
                let name = OutcomeName::ControlBytesPerSecond;
                self.judge.record_miss(name, self.now, description, None, &NO_DECISIONS);
            }
        }
    }

    fn report(mut self, trace: &Trace) -> ReplayReport {
        self.check_all();
        let outcomes = self.outcomes();
        let peaks = self
            .control_meters
            .iter()
            .map(|(id, meter)| (id.clone(), meter.peak_bytes_per_second))
            .collect();
        ReplayReport {
            title: trace.header.title.clone(),
            seed: trace.header.seed,
            length_ms: self.now,
            events: trace.lines.len(),
            flows: self.callers.flows().len() as u64,
            given_up: self.counts.given_up,
            sent: self.counts.sent,
            delivered: self.counts.delivered,
            replies: self.counts.replies,
            digest: self.digest.finish(),
            imbalance_per_mille: self.imbalance,
            control_bytes_per_second: peaks,
            outcomes,
            misses: self.judge.misses.into_misses(),
        }
    }

    fn outcomes(&self) -> Vec<Outcome> {
        let bounds = self.judge.bounds();
        let count = |name| self.judge.misses.count(name);
        let worst =
            bounds.imbalance_groups.iter().filter_map(|group| self.imbalance.get(group)).max();
        let peak = self.control_meters.values().map(|meter| meter.peak_bytes_per_second).max();
        let in_force = self.config.slowest_propagation(self.now);
        let sent = (self.counts.sent > 0).then_some(());
        let counted = |name, seen: Option<()>| seen.map(|()| count(name));
        let out = self.world.had_data_centre_out().then_some(());
        let left = self.world.had_leaving_target().then_some(());
        let cold = self.world.had_cold_target().then_some(());
        use OutcomeName as Name;
        vec![
            outcome(Name::BrokenFlows, bounds.broken_flows, counted(Name::BrokenFlows, sent)),
            outcome(
                Name::WrongServicePackets,
                bounds.wrong_service_packets,
                counted(Name::WrongServicePackets, sent),
            ),
            outcome(
                Name::OpenWaitMs,
                bounds.open_wait_ms,
                sent.map(|()| self.judge.longest_open_wait),
            ),
            outcome(Name::PacketsAfterOut, 0, counted(Name::PacketsAfterOut, out)),
            outcome(Name::FlowsAfterLeaving, 0, counted(Name::FlowsAfterLeaving, left)),
            outcome(Name::ImbalancePerMille, bounds.imbalance_per_mille, worst.copied()),
            outcome(Name::ColdExcess, bounds.cold_excess, counted(Name::ColdExcess, cold)),
            outcome(Name::ControlBytesPerSecond, bounds.control_bytes_per_second, peak),
            outcome(Name::InForceMs, bounds.in_force_within_ms, in_force),
        ]
    }
}

fn outcome(name: OutcomeName, bound: u64, measured: Option<u64>) -> Outcome {
    let state = match measured {
        None => OutcomeState::NotObserved,
        Some(measured) if measured <= bound => OutcomeState::Held,
        Some(_) => OutcomeState::Broken,
    };
    Outcome { name, bound, measured: measured.unwrap_or_default(), state }
}

fn decisions(fleet: &Fleet, key: &FlowKey) -> Vec<String> {
    let now = Instant::now();
    let explanations = fleet.kernels().map(|kernel| explain(kernel, key, now));
    explanations.map(|it| format!("{}: {}", it.instance, it.reason)).collect()
}

fn quality(event: &NetworkEvent) -> LinkQuality {
    LinkQuality {
        latency: Duration::from_micros(event.latency_us),
        jitter: Duration::from_micros(event.jitter_us),
        loss_per_mille: event.loss_per_mille,
        duplicates_per_mille: event.duplicates_per_mille,
    }
}
