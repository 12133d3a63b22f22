//! Judges a replay from the packets that left the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::flow::FlowKey;
use crate::ids::{InstanceId, ServiceId};
use crate::outcome_bounds::OutcomeBounds;
use crate::replay_callers::{CallerFlow, Callers, FlowEnd, FlowStep};
use crate::replay_report::{Miss, MissLog, NotedEvent, OutcomeName};
use crate::replay_world::{KnownTarget, Millis, World};
use crate::trace_file::TraceLine;

/// Events of the trace that a miss shows.
const SHOWN_EVENTS: usize = 4;
/// Whole and thousandths.
const PER_MILLE: u64 = 1_000;

/// A packet that reached a target.
pub struct Arrival<'a> {
    /// When.
    pub now: Millis,
    /// Instance that sent it.
    pub instance: &'a InstanceId,
    /// Where it was sent.
    pub tunnel: SocketAddr,
    /// Addresses and ports.
    pub key: FlowKey,
}

/// Judges a replay.
pub struct Judge {
    bounds: OutcomeBounds,
    /// Misses so far.
    pub misses: MissLog,
    /// Longest wait of a flow for its first delivery.
    pub open_wait: Millis,
    events: VecDeque<NotedEvent>,
}

impl Judge {
    /// Creates a judge.
    pub fn new(bounds: OutcomeBounds) -> Self {
        Self { bounds, misses: MissLog::default(), open_wait: 0, events: VecDeque::new() }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> &OutcomeBounds {
        &self.bounds
    }

    /// Notes an event of the trace, which later misses show.
    pub fn note_event(&mut self, number: usize, line: &TraceLine) {
        if self.events.len() == SHOWN_EVENTS {
            self.events.pop_front();
        }
        let event = serde_json::to_string(&line.event).unwrap_or_default();
        self.events.push_back(NotedEvent { line: number, at_ms: line.at_ms, event });
    }

    /// Judges a packet that reached a target. `decisions` tells what each instance would decide
    /// for the flow.
    pub fn on_arrival(
        &mut self,
        arrival: &Arrival<'_>,
        world: &mut World,
        callers: &mut Callers,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let flow = callers.find_mut(&arrival.key);
        let Some(target) = world.target_at(arrival.tunnel).cloned() else {
            let what = format!("packet went to {}, which is no target", arrival.tunnel);
            let name = OutcomeName::WrongServicePackets;
            return self.miss(name, arrival.now, what, flow.as_deref(), decisions);
        };
        self.judge_service(arrival, world, &target, flow.as_deref(), decisions);
        self.judge_out(arrival, world, &target, flow.as_deref(), decisions);
        let Some(flow) = flow else { return };
        flow.note(FlowStep::Delivered {
            at_ms: arrival.now,
            instance: arrival.instance.clone(),
            target: target.name.clone(),
        });
        if flow.end.is_some() {
            return;
        }
        self.judge_silence(arrival.now, world, flow, decisions);
        flow.lost_since = None;
        if flow.first.is_none() {
            self.judge_first(arrival.now, world, &target, flow, decisions);
            flow.first = Some(target.name);
        } else if flow.first.as_ref() != Some(&target.name) && flow.end.is_none() {
            let first = flow.first.clone().unwrap_or_default();
            let what = format!("flow of {first} reached {}", target.name);
            self.break_flow(arrival.now, what, world, flow, decisions);
        }
    }

    fn judge_service(
        &mut self,
        arrival: &Arrival<'_>,
        world: &World,
        target: &KnownTarget,
        flow: Option<&CallerFlow>,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let service = world.service_at(arrival.key.protocol, arrival.key.service);
        if service == Some(&target.service) {
            return;
        }
        let service = service.map_or("no service", ServiceId::as_str);
        let what = format!("packet for {service} reached {} of {}", target.name, target.service);
        self.miss(OutcomeName::WrongServicePackets, arrival.now, what, flow, decisions);
    }

    fn judge_out(
        &mut self,
        arrival: &Arrival<'_>,
        world: &World,
        target: &KnownTarget,
        flow: Option<&CallerFlow>,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let Some(since) = world.out_since(&target.data_centre) else { return };
        if arrival.now <= since + self.bounds.out_within_ms {
            return;
        }
        let late = arrival.now - since;
        let what =
            format!("{} got a packet {late} ms after {} was out", target.name, target.data_centre);
        self.miss(OutcomeName::PacketsAfterOut, arrival.now, what, flow, decisions);
    }

    fn judge_first(
        &mut self,
        now: Millis,
        world: &mut World,
        target: &KnownTarget,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        self.judge_wait(now, flow, decisions);
        if let Some(since) = target.leaving_since {
            if now > since + self.bounds.leaving_within_ms {
                let what =
                    format!("{} got a new flow {} ms after it left", target.name, now - since);
                self.miss(OutcomeName::FlowsAfterLeaving, now, what, Some(flow), decisions);
            }
        }
        let Some(window) = world.cold(now, &target.name) else { return };
        window.got += 1;
        if window.got > window.capacity {
            let (got, capacity) = (window.got, window.capacity);
            let what = format!("cold {} got {got} new flows and bears {capacity}", target.name);
            self.miss(OutcomeName::ColdExcess, now, what, Some(flow), decisions);
        }
    }

    /// Judges flows of which no packet arrived for too long.
    pub fn judge_all(
        &mut self,
        now: Millis,
        world: &World,
        callers: &mut Callers,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        for flow in callers.all_mut().iter_mut().filter(|flow| flow.end.is_none()) {
            if flow.first.is_some() {
                self.judge_silence(now, world, flow, decisions);
            } else if flow.opened <= now {
                self.judge_wait(now, flow, decisions);
            }
        }
    }

    fn judge_silence(
        &mut self,
        now: Millis,
        world: &World,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let Some(since) = flow.lost_since.filter(|_| flow.first.is_some()) else { return };
        if now <= since + self.bounds.silence_ms {
            return;
        }
        let what = format!("no packet of the flow arrived for {} ms", now - since);
        self.break_flow(now, what, world, flow, decisions);
    }

    fn judge_wait(
        &mut self,
        now: Millis,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let wait = now.saturating_sub(flow.opened);
        self.open_wait = self.open_wait.max(wait);
        if wait > self.bounds.open_wait_ms && !flow.is_late {
            flow.is_late = true;
            let what = format!("the flow's first packet was not delivered for {wait} ms");
            self.miss(OutcomeName::OpenWaitMs, now, what, Some(flow), decisions);
        }
    }

    fn break_flow(
        &mut self,
        now: Millis,
        what: String,
        world: &World,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        if flow.first.as_ref().is_some_and(|target| world.is_out(target)) {
            return;
        }
        self.miss(OutcomeName::BrokenFlows, now, what, Some(flow), decisions);
        flow.end = Some(FlowEnd::Broken);
    }

    /// Notes a miss.
    pub fn miss(
        &mut self,
        name: OutcomeName,
        at_ms: Millis,
        what: String,
        flow: Option<&CallerFlow>,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let events = &self.events;
        self.misses.add(name, || Miss {
            name,
            at_ms,
            what,
            flow: flow.map(|flow| flow.key),
            steps: flow.map(|flow| flow.history.iter().cloned().collect()).unwrap_or_default(),
            decisions: flow.map(|flow| decisions(&flow.key)).unwrap_or_default(),
            events: events.iter().cloned().collect(),
        });
    }
}

/// Returns the imbalance of a group whose first flow was due at `since`, in thousandths: the most
/// flows that a target got over the mean, among the targets that were active all the time since.
pub fn imbalance(world: &World, callers: &Callers, group: &str, since: Millis) -> Option<u64> {
    let is_member = |flow: &&CallerFlow| flow.group == group && !flow.is_reopened;
    let flows: Vec<_> = callers.all().iter().filter(is_member).collect();
    let key = flows.first()?.key;
    let service = world.service_at(key.protocol, key.service)?;
    let targets = world.active_targets(service, since);
    let mut counts: BTreeMap<_, u64> = targets.iter().map(|target| (&target.name, 0)).collect();
    for target in flows.iter().filter_map(|flow| flow.first.as_ref()) {
        if let Some(count) = counts.get_mut(target) {
            *count += 1;
        }
    }
    let total: u64 = counts.values().sum();
    let largest = counts.values().max()?;
    (total > 0).then(|| largest * PER_MILLE * counts.len() as u64 / total)
}
