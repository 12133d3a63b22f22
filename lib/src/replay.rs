//! Replays a recorded trace through a fleet of kernels and judges it against stated outcomes.
//!
//! Each target answers every packet with one from its own address. Everything that is left to
//! chance follows the seed of the trace, so the same trace gives the same report.

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

/// Time between two steps of a replay, in milliseconds.
const STEP_MS: Millis = 10;
/// Time that a replay goes on after the last event, in milliseconds.
const TAIL_MS: Millis = 6_000;
/// Time from the last flow of a group to the measurement of its imbalance, in milliseconds.
const SETTLE_MS: Millis = 2_000;
/// Time between two judgements of silent flows and of control traffic, in milliseconds.
const JUDGE_MS: Millis = 1_000;
const PAYLOAD: &[u8] = b"data";
const NO_ANSWERS: fn(&FlowKey) -> Vec<String> = |_| Vec::new();

/// Replays a trace. The runtime's clock must be paused.
pub async fn replay(trace: &Trace, bounds: OutcomeBounds) -> ReplayReport {
    let mut replay = Replay::new(trace, bounds);
    let end = trace.lines.last().map_or(0, |line| line.at_ms) + TAIL_MS;
    let mut next = 0;
    while replay.now <= end {
        while let Some(line) = trace.lines.get(next).filter(|line| line.at_ms <= replay.now) {
            next += 1;
            replay.judge.note_event(next + 1, line);
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
    leaving: BTreeMap<InstanceId, Millis>,
    names: BTreeMap<IpAddr, InstanceId>,
    control: BTreeMap<InstanceId, ControlMeter>,
    groups: BTreeMap<(Millis, SmolStr), Millis>,
    imbalance: BTreeMap<SmolStr, u64>,
    counts: PacketCounts,
    digest: SipHasher13,
}

#[derive(Default)]
struct ControlMeter {
    total: u64,
    peak: u64,
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
            leaving: BTreeMap::new(),
            names: BTreeMap::new(),
            control: BTreeMap::new(),
            groups: BTreeMap::new(),
            imbalance: BTreeMap::new(),
            counts: PacketCounts::default(),
            digest: SipHasher13::new(),
        }
    }

    fn on_event(&mut self, event: &TraceEvent) {
        match event {
            TraceEvent::Put(put) => {
                let name = put.body["name"].as_str().unwrap_or_default().into();
                self.write(put.kind.clone(), name, Some(put.body.clone()), put.spread_ms);
            }
            TraceEvent::Delete(delete) => {
                self.write(delete.kind.clone(), delete.name.clone(), None, delete.spread_ms);
            }
            TraceEvent::Start(start) => {
                self.fleet.start(&start.instance, &start.data_centre);
                if let Some(ip) = self.fleet.ip(&start.instance) {
                    self.names.insert(ip, start.instance.clone());
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
            TraceEvent::Packet(event) => self.single_packet(event),
            TraceEvent::Open(open) => self.open(open),
            TraceEvent::Close(close) => self.callers.close(self.now, close),
            TraceEvent::Cold(cold) => self.world.note_cold(self.now, cold),
        }
    }

    fn open(&mut self, open: &OpenEvent) {
        self.callers.open(self.now, open);
        let at = self.now + open.over_ms + SETTLE_MS;
        self.groups.insert((at, open.group.clone()), self.now);
    }

    fn measure_groups(&mut self) {
        let later = self.groups.split_off(&(self.now + 1, SmolStr::default()));
        for ((_, group), since) in std::mem::replace(&mut self.groups, later) {
            let Some(measured) = imbalance(&self.world, &self.callers, &group, since) else {
                continue;
            };
            let bounds = self.judge.bounds();
            let is_judged = bounds.imbalance_groups.contains(&group);
            if is_judged && measured > bounds.imbalance_per_mille {
                let what = format!("group {group} has an imbalance of {measured} thousandths");
                let name = OutcomeName::ImbalancePerMille;
                self.judge.miss(name, self.now, what, None, &NO_ANSWERS);
            }
            self.imbalance.insert(group, measured);
        }
    }

    fn write(&mut self, kind: SmolStr, name: SmolStr, body: Option<Value>, spread_ms: Millis) {
        self.version += 1;
        let object = Object { kind, name, version: self.version, body };
        self.world.note(self.now, &object);
        self.give_up();
        self.fleet.remember(&object);
        let instances: Vec<_> = self.fleet.kernels().map(|kernel| kernel.id().clone()).collect();
        self.config.write(self.now, &object, &instances, spread_ms, &self.random);
    }

    fn give_up(&mut self) {
        let targets = self.world.targets_out();
        self.counts.given_up +=
            self.callers.give_up(self.now, &self.random, |target| targets.contains(target));
    }

    fn kill(&mut self, name: &str) {
        self.fleet.kill(name);
        self.config.forget(name);
        self.fleet.update_instances();
    }

    fn leave(&mut self, name: &InstanceId) {
        if let Some(kernel) = self.fleet.kernel(name) {
            kernel.leave(Instant::now());
            let until = self.now + LEAVE_RELAY_TIME.as_millis() as Millis;
            self.leaving.insert(name.clone(), until);
        }
    }

    fn end_leaving(&mut self) {
        let ended: Vec<_> = self
            .leaving
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(id, _)| id.clone())
            .collect();
        for name in ended {
            self.leaving.remove(&name);
            self.kill(&name);
        }
    }

    fn single_packet(&mut self, event: &PacketEvent) {
        let key =
            FlowKey { protocol: event.protocol, caller: event.caller, service: event.service };
        let control =
            Control { opens: event.opens, finishes: event.finishes, resets: event.resets };
        let index = self.callers.single(self.now, key);
        let at = event.at.clone().or_else(|| self.spray());
        self.send(index, control, at);
    }

    async fn step(&mut self) {
        self.end_leaving();
        for (instance, objects) in self.config.take_due(self.now) {
            self.fleet.apply_to(&instance, &objects);
        }
        for (index, control) in self.callers.take_due(self.now) {
            let at = self.spray();
            self.send(index, control, at);
        }
        self.fleet.run_for(Duration::from_millis(STEP_MS)).await;
        self.now += STEP_MS;
        for datagram in self.fleet.take_outbox() {
            self.on_departure(&datagram);
        }
        if self.now % JUDGE_MS == 0 {
            self.judge_all();
        }
    }

    fn spray(&self) -> Option<InstanceId> {
        let count = self.fleet.kernels().count() as u64;
        let chosen = self.random.below(count) as usize;
        self.fleet.kernels().nth(chosen).map(|kernel| kernel.id().clone())
    }

    fn send(&mut self, index: usize, control: Control, at: Option<InstanceId>) {
        let flow = self.callers.flow_mut(index);
        let payload = if control.opens { &[] } else { PAYLOAD };
        let (Ok(packet), Some(instance)) = (packet::build(&flow.key, control, payload), at) else {
            return;
        };
        flow.note(FlowStep::Sent { at_ms: self.now, instance: instance.clone() });
        self.counts.sent += 1;
        self.fleet.inject(&instance, &packet);
    }

    fn on_departure(&mut self, datagram: &Datagram) {
        self.digest.write_u64(self.now);
        (datagram.from, datagram.to).hash(&mut self.digest);
        self.digest.write(&datagram.bytes);
        if datagram.to == EGRESS {
            self.counts.replies += 1;
            return;
        }
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let Some(instance) = self.names.get(&datagram.from.ip()).cloned() else { return };
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

    fn judge_all(&mut self) {
        let fleet = &self.fleet;
        let decisions = |key: &FlowKey| decisions(fleet, key);
        self.judge.judge_all(self.now, &self.world, &mut self.callers, &decisions);
        self.give_up();
        self.measure_groups();
        self.measure_control();
    }

    fn measure_control(&mut self) {
        let bound = self.judge.bounds().control_bytes_per_second;
        for kernel in self.fleet.kernels() {
            let Some(ip) = self.fleet.ip(kernel.id()) else { continue };
            let total = self.fleet.network().control_bytes(ip);
            let meter = self.control.entry(kernel.id().clone()).or_default();
            let sent = total - meter.total;
            meter.total = total;
            meter.peak = meter.peak.max(sent);
            if sent > bound {
                let what = format!("{} sent {sent} control bytes in a second", kernel.id());
                let name = OutcomeName::ControlBytesPerSecond;
                self.judge.miss(name, self.now, what, None, &NO_ANSWERS);
            }
        }
    }

    fn report(mut self, trace: &Trace) -> ReplayReport {
        self.judge_all();
        let outcomes = self.outcomes();
        let peaks = self.control.iter().map(|(id, meter)| (id.clone(), meter.peak)).collect();
        ReplayReport {
            title: trace.header.title.clone(),
            seed: trace.header.seed,
            length_ms: self.now,
            events: trace.lines.len(),
            flows: self.callers.all().len() as u64,
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
        let peak = self.control.values().map(|meter| meter.peak).max();
        let in_force = self.config.slowest(self.now);
        let sent = (self.counts.sent > 0).then_some(());
        let counted = |name, seen: Option<()>| seen.map(|()| count(name));
        let out = self.world.was_out().then_some(());
        let left = self.world.was_leaving().then_some(());
        let cold = self.world.has_cold().then_some(());
        use OutcomeName as Name;
        vec![
            outcome(Name::BrokenFlows, bounds.broken_flows, counted(Name::BrokenFlows, sent)),
            outcome(
                Name::WrongServicePackets,
                bounds.wrong_service_packets,
                counted(Name::WrongServicePackets, sent),
            ),
            outcome(Name::OpenWaitMs, bounds.open_wait_ms, sent.map(|()| self.judge.open_wait)),
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
