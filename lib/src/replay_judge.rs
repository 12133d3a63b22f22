//! Checks of a replay against outcome bounds, based on the packets that left the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::flow::FlowKey;
use crate::ids::{InstanceId, ServiceId};
use crate::outcome_bounds::OutcomeBounds;
use crate::replay_callers::{CallerFlow, Callers, FlowEnd, FlowStep};
use crate::replay_report::{Miss, MissLog, OutcomeName, RecordedEvent};
use crate::replay_world::{KnownTarget, Millis, World};
use crate::trace_file::TraceLine;

/// Number of most recent trace events that the description of a miss includes.
const MAX_SHOWN_EVENTS: usize = 4;
const PER_MILLE: u64 = 1_000;

/// A packet that left the fleet towards a target.
pub struct Arrival<'a> {
    /// Time since the start of the replay, in milliseconds.
    pub now: Millis,
    /// Instance that sent the packet to the target.
    pub instance: &'a InstanceId,
    /// Tunnel address to which the packet was sent.
    pub tunnel: SocketAddr,
    /// Flow to which the packet belongs.
    pub key: FlowKey,
}

/// Checks arrivals and flows of a replay against outcome bounds, and records misses.
pub struct Judge {
    bounds: OutcomeBounds,
    /// Misses recorded so far.
    pub misses: MissLog,
    /// Longest time from the first packet of a flow to its first delivery so far, in milliseconds.
    pub longest_open_wait: Millis,
    events: VecDeque<RecordedEvent>,
}

impl Judge {
    /// Creates a judge without recorded misses.
    pub fn new(bounds: OutcomeBounds) -> Self {
        Self { bounds, misses: MissLog::default(), longest_open_wait: 0, events: VecDeque::new() }
    }

    /// Returns the bounds against which the replay is checked.
    pub fn bounds(&self) -> &OutcomeBounds {
        &self.bounds
    }

    /// Records an event of the trace, so that descriptions of later misses include it. `number` is
    /// the line number that these descriptions show.
    pub fn record_event(&mut self, number: usize, line: &TraceLine) {
        if self.events.len() == MAX_SHOWN_EVENTS {
            self.events.pop_front();
        }
        let event = serde_json::to_string(&line.event).unwrap_or_default();
        self.events.push_back(RecordedEvent { line: number, at_ms: line.at_ms, event });
    }

    /// Checks a packet that reached a target. `decisions` returns, for each instance, the decision
    /// that it would make for the flow; it is called only for misses that are described.
    pub fn on_arrival(
        &mut self,
        arrival: &Arrival<'_>,
        world: &mut World,
        callers: &mut Callers,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let flow = callers.find_mut(&arrival.key);
        let Some(target) = world.target_at(arrival.tunnel).cloned() else {
            let description = format!("packet went to {}, which is no target", arrival.tunnel);
            let name = OutcomeName::WrongServicePackets;
            return self.record_miss(name, arrival.now, description, flow.as_deref(), decisions);
        };
        self.check_service(arrival, world, &target, flow.as_deref(), decisions);
        self.check_out_of_service(arrival, world, &target, flow.as_deref(), decisions);
        let Some(flow) = flow else { return };
        flow.record_step(FlowStep::Delivered {
            at_ms: arrival.now,
            instance: arrival.instance.clone(),
            target: target.name.clone(),
        });
        if flow.end.is_some() {
            return;
        }
        self.check_delivery_gap(arrival.now, world, flow, decisions);
        flow.undelivered_since = None;
        if flow.first_target.is_none() {
            self.check_first_delivery(arrival.now, world, &target, flow, decisions);
            flow.first_target = Some(target.name);
        } else if flow.first_target.as_ref() != Some(&target.name) && flow.end.is_none() {
            let first = flow.first_target.clone().unwrap_or_default();
            let description = format!("flow of {first} reached {}", target.name);
            self.mark_broken(arrival.now, description, world, flow, decisions);
        }
    }

    fn check_service(
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
        let description =
            format!("packet for {service} reached {} of {}", target.name, target.service);
        self.record_miss(
            OutcomeName::WrongServicePackets,
            arrival.now,
            description,
            flow,
            decisions,
        );
    }

    fn check_out_of_service(
        &mut self,
        arrival: &Arrival<'_>,
        world: &World,
        target: &KnownTarget,
        flow: Option<&CallerFlow>,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let Some(since) = world.out_of_service_since(&target.data_centre) else { return };
        if arrival.now <= since + self.bounds.out_within_ms {
            return;
        }
        let late = arrival.now - since;
        let description =
            format!("{} got a packet {late} ms after {} was out", target.name, target.data_centre);
        self.record_miss(OutcomeName::PacketsAfterOut, arrival.now, description, flow, decisions);
    }

    fn check_first_delivery(
        &mut self,
        now: Millis,
        world: &mut World,
        target: &KnownTarget,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        self.check_open_wait(now, flow, decisions);
        if let Some(since) = target.leaving_since {
            if now > since + self.bounds.leaving_within_ms {
                let description =
                    format!("{} got a new flow {} ms after it left", target.name, now - since);
                self.record_miss(
                    OutcomeName::FlowsAfterLeaving,
                    now,
                    description,
                    Some(flow),
                    decisions,
                );
            }
        }
        let Some(window) = world.cold_window(now, &target.name) else { return };
        window.new_flows += 1;
        if window.new_flows > window.capacity {
            let (got, capacity) = (window.new_flows, window.capacity);
            let description =
                format!("cold {} got {got} new flows and bears {capacity}", target.name);
            self.record_miss(OutcomeName::ColdExcess, now, description, Some(flow), decisions);
        }
    }

    /// Checks all open flows for packets that were not delivered within the bounds.
    pub fn check_all(
        &mut self,
        now: Millis,
        world: &World,
        callers: &mut Callers,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        for flow in callers.flows_mut().iter_mut().filter(|flow| flow.end.is_none()) {
            if flow.first_target.is_some() {
                self.check_delivery_gap(now, world, flow, decisions);
            } else if flow.opened <= now {
                self.check_open_wait(now, flow, decisions);
            }
        }
    }

    fn check_delivery_gap(
        &mut self,
        now: Millis,
        world: &World,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let Some(since) = flow.undelivered_since.filter(|_| flow.first_target.is_some()) else {
            return;
        };
        if now <= since + self.bounds.silence_ms {
            return;
        }
        let description = format!("no packet of the flow arrived for {} ms", now - since);
        self.mark_broken(now, description, world, flow, decisions);
    }

    fn check_open_wait(
        &mut self,
        now: Millis,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let wait = now.saturating_sub(flow.opened);
        self.longest_open_wait = self.longest_open_wait.max(wait);
        if wait > self.bounds.open_wait_ms && !flow.is_open_wait_exceeded {
            flow.is_open_wait_exceeded = true;
            let description = format!("the flow's first packet was not delivered for {wait} ms");
            self.record_miss(OutcomeName::OpenWaitMs, now, description, Some(flow), decisions);
        }
    }

    fn mark_broken(
        &mut self,
        now: Millis,
        description: String,
        world: &World,
        flow: &mut CallerFlow,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        if flow.first_target.as_ref().is_some_and(|target| world.is_out_of_service(target)) {
            return;
        }
        self.record_miss(OutcomeName::BrokenFlows, now, description, Some(flow), decisions);
        flow.end = Some(FlowEnd::Broken);
    }

    /// Counts a miss, and describes it when it is one of the first of its outcome.
    pub fn record_miss(
        &mut self,
        name: OutcomeName,
        at_ms: Millis,
        description: String,
        flow: Option<&CallerFlow>,
        decisions: &dyn Fn(&FlowKey) -> Vec<String>,
    ) {
        let events = &self.events;
        self.misses.add(name, || Miss {
            name,
            at_ms,
            what: description,
            flow: flow.map(|flow| flow.key),
            steps: flow.map(|flow| flow.history.iter().cloned().collect()).unwrap_or_default(),
            decisions: flow.map(|flow| decisions(&flow.key)).unwrap_or_default(),
            events: events.iter().cloned().collect(),
        });
    }
}

/// Returns the imbalance of a group of flows in thousandths: the largest number of flows on one
/// target divided by the mean over the targets of the service. Only targets that have been active
/// since `since`, the time at which the first flow of the group was due, are counted. Returns
/// nothing when the service is unknown or no flow of the group reached such a target.
pub fn imbalance(world: &World, callers: &Callers, group: &str, since: Millis) -> Option<u64> {
    let is_member = |flow: &&CallerFlow| flow.group == group && !flow.is_reopened;
    let flows: Vec<_> = callers.flows().iter().filter(is_member).collect();
    let key = flows.first()?.key;
    let service = world.service_at(key.protocol, key.service)?;
    let targets = world.active_targets(service, since);
    let mut counts: BTreeMap<_, u64> = targets.iter().map(|target| (&target.name, 0)).collect();
    for target in flows.iter().filter_map(|flow| flow.first_target.as_ref()) {
        if let Some(count) = counts.get_mut(target) {
            *count += 1;
        }
    }
    let total: u64 = counts.values().sum();
    let largest = counts.values().max()?;
    (total > 0).then(|| largest * PER_MILLE * counts.len() as u64 / total)
}
