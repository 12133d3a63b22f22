//! Circuit breakers for targets that fail requests at once or never answer them, from what all
//! instances observe.
//!
//! Load pattern: each of many instances sees a target every few seconds only, and a target that fails
//! fast takes on requests as fast as it is given any. Instances report stalled requests at once to
//! the collector of the target's group ([`crate::answer_reports`]), which decides by
//! [`crate::stall_evidence`], keeps the [`crate::circuit_breaker`], and announces its states. Health
//! checks do not acquit a target: they pass while its requests fail. An announcement is a lease, so
//! that the verdict of an instance that ended does not stay. Every instance checks by itself that only
//! a part of a service is withheld: if more of it fails, all of it keeps its flows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_reports::group_of;
use crate::byte_budget::ByteBudget;
use crate::circuit_breaker::{BreakerState, CircuitBreaker};
use crate::collections::HashMap;
use crate::directory_message::{AnnouncedBreaker, DirectoryMessage, TargetOutcomes};
use crate::ids::{InstanceId, ServiceId};
use crate::stall_evidence::{StallCount, StallEvidence};
use crate::target_table::{TargetEntry, TargetTable};
use crate::view::{Member, View};

/// Time for which an announced state stays in force unless it is announced again.
pub const BREAKER_LEASE: Duration = Duration::from_secs(6);
/// Time after which an instance is told the states again.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time between two announcements to the same instance.
pub const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(90);
/// Shortest time between two reports of answers of a target that is not fully trusted. Stalled
/// requests are reported at once.
pub const ANSWER_REPORT_INTERVAL: Duration = Duration::from_millis(90);
/// Largest share of a service's targets in use whose breakers are not closed, in percent.
pub const MAX_WITHHELD_PERCENT: usize = 30;
/// Largest number of targets in a datagram.
const MAX_TARGETS_PER_DATAGRAM: usize = 64;
/// Bytes of a datagram without its targets: the envelope with the names of instances.
const DATAGRAM_BYTES: u64 = 64;
/// Largest number of bytes of a target in a datagram.
const TARGET_BYTES: u64 = 8;
/// Rate of the reports of an instance, and of the announcements of a collector.
const BYTES_PER_SECOND: u64 = 8_000;
/// Bytes that may be sent at once after a pause.
const BURST_BYTES: u64 = 8_000;

/// Message to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BreakerMessage {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// Contents.
    pub message: DirectoryMessage,
}

/// Change of a breaker's state that this instance decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerChange {
    /// Index of the target.
    pub target: usize,
    /// State before the change.
    pub from: BreakerState,
    /// State after the change.
    pub to: BreakerState,
    /// Number of failures of the target that are remembered.
    pub trips: u32,
    /// Stalled requests that the change is based on; `None` if time or answers brought it about.
    pub stalls: Option<StallCount>,
}

#[derive(Clone, Copy, Debug)]
struct StateInForce {
    state: BreakerState,
    until: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    answered: u32,
    stalled: u32,
    late: u32,
}

/// Reports the outcomes of requests, collects those of other instances, and keeps the announced states
/// of breakers.
#[derive(Debug)]
pub struct FailingTargets {
    id: InstanceId,
    /// Outcomes that have not been reported yet.
    pending: BTreeMap<usize, Outcomes>,
    answers_reported_at: Option<Instant>,
    evidence: BTreeMap<ServiceId, StallEvidence>,
    /// Breakers of the targets that this instance collects reports of.
    breakers: BTreeMap<usize, CircuitBreaker>,
    in_force: BTreeMap<usize, StateInForce>,
    /// Targets whose state in the target table is not closed.
    applied: BTreeSet<usize>,
    /// Targets whose breakers were closed, with the time, until all instances know.
    closed: BTreeMap<usize, Instant>,
    changed_at: Option<Instant>,
    told_at: HashMap<InstanceId, Instant>,
    report_budget: ByteBudget,
    announcement_budget: ByteBudget,
    messages: Vec<BreakerMessage>,
    changes: Vec<BreakerChange>,
}

impl FailingTargets {
    /// Creates the state of an instance.
    pub fn new(id: InstanceId) -> Self {
        let budget = || ByteBudget::new(BYTES_PER_SECOND, BURST_BYTES);
        Self {
            id,
            pending: BTreeMap::new(),
            answers_reported_at: None,
            evidence: BTreeMap::new(),
            breakers: BTreeMap::new(),
            in_force: BTreeMap::new(),
            applied: BTreeSet::new(),
            closed: BTreeMap::new(),
            changed_at: None,
            told_at: HashMap::default(),
            report_budget: budget(),
            announcement_budget: budget(),
            messages: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Records a request of this instance that stalled.
    pub fn on_stalled(&mut self, target: usize) {
        self.pending.entry(target).or_default().stalled += 1;
    }

    /// Records a request of this instance that was answered. Apart from those that had stalled, only
    /// answers of targets that are not fully trusted are reported.
    pub fn on_answered(&mut self, target: usize, was_stalled: bool) {
        if was_stalled {
            self.pending.entry(target).or_default().late += 1;
        } else if self.applied.contains(&target) {
            self.pending.entry(target).or_default().answered += 1;
        }
    }

    /// Records the report of another instance.
    pub fn on_report(
        &mut self,
        from: &Member,
        report: &[TargetOutcomes],
        targets: &TargetTable,
        now: Instant,
    ) {
        for outcomes in report {
            let Some(target) = targets.index_by_cookie(outcomes.cookie) else { continue };
            let TargetOutcomes { answered, stalled, late, .. } = *outcomes;
            self.collect(target, &from.id, Outcomes { answered, stalled, late }, targets, now);
        }
    }

    /// Puts the states in force that a collector announced. Only an instance in the data centre of a
    /// target collects its reports, unless there is none.
    pub fn on_states(
        &mut self,
        from: &Member,
        states: &[AnnouncedBreaker],
        view: &View,
        targets: &mut TargetTable,
        now: Instant,
    ) {
        for announced in states {
            let Some(target) = targets.index_by_cookie(announced.cookie) else { continue };
            let data_centre = &targets.get(target).registration.data_centre;
            let is_collector =
                from.data_centre == *data_centre || view.eligible_in(data_centre).next().is_none();
            if is_collector {
                self.put_in_force(target, announced.state, now);
            }
        }
        self.apply(targets);
    }

    /// Forgets what is known of a target that started again.
    pub fn forget(&mut self, target: usize) {
        self.in_force.remove(&target);
        self.breakers.remove(&target);
        self.pending.remove(&target);
        self.closed.remove(&target);
        for evidence in self.evidence.values_mut() {
            evidence.forget(target);
        }
    }

    /// Reports outcomes, decides on the collected ones, announces and applies states. `rate` returns
    /// the requests that a target gets per second, as far as that is known.
    pub fn tick(
        &mut self,
        view: &View,
        targets: &mut TargetTable,
        rate: impl Fn(usize) -> Option<f64>,
        now: Instant,
    ) {
        self.report(view, targets, now);
        self.decide(view, targets, rate, now);
        self.announce(view, targets, now);
        self.in_force.retain(|_, it| now < it.until);
        self.apply(targets);
    }

    /// Returns the messages to other instances since the last call.
    pub fn take_messages(&mut self) -> Vec<BreakerMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Returns the changes of states that this instance decided on since the last call.
    pub fn take_changes(&mut self) -> Vec<BreakerChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether this instance has nothing to report, to decide or to announce.
    fn is_idle(&self) -> bool {
        self.evidence.is_empty() && self.breakers.is_empty() && self.closed.is_empty()
    }

    fn report(&mut self, view: &View, targets: &TargetTable, now: Instant) {
        let answers_are_due =
            self.answers_reported_at.is_none_or(|at| now >= at + ANSWER_REPORT_INTERVAL);
        let is_due = answers_are_due || self.pending.values().any(|it| it.stalled + it.late > 0);
        if self.pending.is_empty() || !is_due {
            return;
        }
        self.answers_reported_at = Some(now);
        let mut by_collector: BTreeMap<&InstanceId, (SocketAddr, Vec<TargetOutcomes>)> =
            BTreeMap::new();
        for (target, outcomes) in std::mem::take(&mut self.pending) {
            let Some(collector) = group_of(target, targets).collector(view) else { continue };
            if collector.id == self.id {
                let id = self.id.clone();
                self.collect(target, &id, outcomes, targets, now);
                continue;
            }
            let report = by_collector.entry(&collector.id);
            let (_, report) = report.or_insert_with(|| (collector.peer, Vec::new()));
            report.push(wire_outcomes(target, outcomes, targets));
        }
        for (peer, report) in by_collector.into_values() {
            self.send_report(peer, report, now);
        }
    }

    fn send_report(
        &mut self,
        collector: SocketAddr,
        mut report: Vec<TargetOutcomes>,
        now: Instant,
    ) {
        if !self.report_budget.has_available_bytes(now) {
            return;
        }
        report.truncate(MAX_TARGETS_PER_DATAGRAM);
        self.report_budget.spend(datagram_bytes(report.len()));
        let message = DirectoryMessage::OutcomeReport { targets: report };
        self.messages.push(BreakerMessage { to: vec![collector], message });
    }

    fn collect(
        &mut self,
        target: usize,
        reporter: &InstanceId,
        outcomes: Outcomes,
        targets: &TargetTable,
        now: Instant,
    ) {
        if outcomes.stalled + outcomes.late > 0 {
            let service = &targets.get(target).registration.service;
            let evidence = self.evidence.entry(service.clone()).or_default();
            evidence.record(target, reporter, outcomes.stalled, now);
            evidence.retract(target, reporter, outcomes.late);
        }
        let Some(breaker) = self.breakers.get_mut(&target) else { return };
        let from = breaker.state();
        breaker.on_outcomes(outcomes.answered, outcomes.stalled, outcomes.late, now);
        self.note_change(target, from, None, now);
    }

    fn decide(
        &mut self,
        view: &View,
        targets: &TargetTable,
        rate: impl Fn(usize) -> Option<f64>,
        now: Instant,
    ) {
        if self.is_idle() {
            return;
        }
        for evidence in self.evidence.values_mut() {
            evidence.expire(now);
        }
        self.evidence.retain(|_, evidence| !evidence.is_empty());
        let is_alone = view.members().iter().all(|member| member.id == self.id);
        let min_reporters = if is_alone { 1 } else { 2 };
        let failures = self.find_failures(targets, rate, min_reporters, now);
        for (service, target, stalls) in failures {
            if self.may_withhold(target, &service, targets) {
                let new_breaker = || CircuitBreaker::new(now);
                let breaker = self.breakers.entry(target).or_insert_with(new_breaker);
                let from = breaker.state();
                breaker.trip(stalls.stalls as u32, now);
                self.note_change(target, from, Some(stalls), now);
            }
        }
        self.tick_breakers(now);
    }

    /// Returns the targets that have begun to fail, with their services and stalls.
    fn find_failures(
        &self,
        targets: &TargetTable,
        rate: impl Fn(usize) -> Option<f64>,
        min_reporters: usize,
        now: Instant,
    ) -> Vec<(ServiceId, usize, StallCount)> {
        let mut failures = Vec::new();
        for (service, evidence) in &self.evidence {
            let peers = |target: usize| count_peers(target, targets);
            for (target, stalls) in evidence.failures(&rate, peers, min_reporters, now) {
                let state = self.state(target);
                let is_withheld = matches!(state, BreakerState::Open | BreakerState::HalfOpen);
                if !is_withheld && targets.get(target).accepts_new_flows() {
                    failures.push((service.clone(), target, stalls));
                }
            }
        }
        failures
    }

    fn tick_breakers(&mut self, now: Instant) {
        let tracked: Vec<_> = self.breakers.keys().copied().collect();
        for target in tracked {
            let Some(breaker) = self.breakers.get_mut(&target) else { continue };
            let from = breaker.state();
            breaker.tick(now);
            self.note_change(target, from, None, now);
        }
        self.breakers.retain(|_, breaker| !breaker.is_forgotten(now));
        self.closed.retain(|_, at| now < *at + BREAKER_LEASE);
    }

    /// Puts the state of a breaker in force and has it announced if it has changed.
    fn note_change(
        &mut self,
        target: usize,
        from: BreakerState,
        stalls: Option<StallCount>,
        now: Instant,
    ) {
        let Some(breaker) = self.breakers.get(&target) else { return };
        let (to, trips) = (breaker.state(), breaker.trips());
        if from == to {
            return;
        }
        self.changed_at = Some(now);
        self.changes.push(BreakerChange { target, from, to, trips, stalls });
        self.put_in_force(target, to, now);
        if to == BreakerState::Closed {
            self.closed.insert(target, now);
        } else {
            self.closed.remove(&target);
        }
    }

    fn announce(&mut self, view: &View, targets: &TargetTable, now: Instant) {
        if self.is_idle() {
            return;
        }
        let mut announced: BTreeMap<usize, BreakerState> = BTreeMap::new();
        announced.extend(self.closed.keys().map(|target| (*target, BreakerState::Closed)));
        let states = self.breakers.iter().map(|(target, breaker)| (*target, breaker.state()));
        announced.extend(states.filter(|(_, state)| *state != BreakerState::Closed));
        for (target, state) in &announced {
            self.put_in_force(*target, *state, now);
        }
        if announced.is_empty() {
            return;
        }
        let to = self.take_recipients(view, announced.len(), now);
        if to.is_empty() {
            return;
        }
        let state = |(target, state): (&usize, &BreakerState)| AnnouncedBreaker {
            cookie: targets.get(*target).cookie,
            state: *state,
        };
        let states: Vec<_> = announced.iter().map(state).collect();
        for part in states.chunks(MAX_TARGETS_PER_DATAGRAM) {
            let message = DirectoryMessage::BreakerReport { targets: part.to_vec() };
            self.messages.push(BreakerMessage { to: to.clone(), message });
        }
    }

    /// Returns the instances that are told the states now, as many as the budget allows: first those
    /// in this instance's data centre, which send most flows to its targets.
    fn take_recipients(&mut self, view: &View, states: usize, now: Instant) -> Vec<SocketAddr> {
        self.told_at.retain(|id, _| view.get(id).is_some());
        let own = view.get(&self.id).map(|member| member.data_centre.clone());
        let others = view.members().iter().filter(|member| member.id != self.id);
        let mut due: Vec<_> = others
            .filter(|member| self.is_due_to_hear(&member.id, now))
            .map(|member| {
                let is_remote = Some(&member.data_centre) != own.as_ref();
                (is_remote, self.told_at.get(&member.id).copied(), member)
            })
            .collect();
        due.sort_by_key(|(is_remote, told_at, _)| (*is_remote, *told_at));
        let mut to = Vec::new();
        for (_, _, member) in due {
            if !self.announcement_budget.has_available_bytes(now) {
                break;
            }
            self.announcement_budget.spend(datagram_bytes(states));
            self.told_at.insert(member.id.clone(), now);
            to.push(member.peer);
        }
        to
    }

    fn is_due_to_hear(&self, id: &InstanceId, now: Instant) -> bool {
        let Some(told_at) = self.told_at.get(id).copied() else { return true };
        let is_outdated = self.changed_at >= Some(told_at);
        let wait = if is_outdated { MIN_ANNOUNCEMENT_INTERVAL } else { RENEWAL_INTERVAL };
        now >= told_at + wait
    }

    fn state(&self, target: usize) -> BreakerState {
        self.in_force.get(&target).map_or(BreakerState::Closed, |it| it.state)
    }

    fn put_in_force(&mut self, target: usize, state: BreakerState, now: Instant) {
        if state == BreakerState::Closed {
            self.in_force.remove(&target);
        } else {
            self.in_force.insert(target, StateInForce { state, until: now + BREAKER_LEASE });
        }
    }

    /// Returns whether a target may be withheld besides those that are already.
    fn may_withhold(&self, target: usize, service: &str, targets: &TargetTable) -> bool {
        let is_other = |other: &&usize| {
            **other != target && targets.get(**other).registration.service == service
        };
        may_withhold(self.in_force.keys().filter(is_other).count() + 1, service, targets)
    }

    /// Sets the states of the targets, except for services of which too large a part is withheld.
    fn apply(&mut self, targets: &mut TargetTable) {
        if self.in_force.is_empty() && self.applied.is_empty() {
            return;
        }
        let mut by_service: BTreeMap<ServiceId, Vec<usize>> = BTreeMap::new();
        for target in self.in_force.keys() {
            let entry = targets.get(*target);
            if entry.accepts_new_flows() {
                by_service.entry(entry.registration.service.clone()).or_default().push(*target);
            }
        }
        by_service.retain(|service, withheld| may_withhold(withheld.len(), service, targets));
        let withheld: BTreeSet<_> = by_service.into_values().flatten().collect();
        for target in self.applied.difference(&withheld) {
            targets.set_breaker(*target, BreakerState::Closed);
        }
        for target in &withheld {
            targets.set_breaker(*target, self.state(*target));
        }
        self.applied = withheld;
    }
}

/// Returns whether a number of a service's targets in use may be withheld at the same time. One may
/// always be, if there are others.
fn may_withhold(withheld: usize, service: &str, targets: &TargetTable) -> bool {
    let indices = targets.indices_by_service(service).iter();
    let in_use = indices.filter(|index| targets.get(**index).accepts_new_flows()).count();
    let is_single = withheld == 1 && in_use > 1;
    is_single || withheld * 100 <= in_use * MAX_WITHHELD_PERCENT
}

/// Returns the number of targets in use in the service and the data centre of a target.
fn count_peers(target: usize, targets: &TargetTable) -> usize {
    let registration = &targets.get(target).registration;
    let indices = targets.indices_by_service(&registration.service).iter();
    let entries = indices.map(|index| targets.get(*index));
    let is_peer = |it: &&TargetEntry| {
        it.accepts_new_flows() && it.registration.data_centre == registration.data_centre
    };
    entries.filter(is_peer).count()
}

fn wire_outcomes(target: usize, outcomes: Outcomes, targets: &TargetTable) -> TargetOutcomes {
    let Outcomes { answered, stalled, late } = outcomes;
    TargetOutcomes { cookie: targets.get(target).cookie, answered, stalled, late }
}

fn datagram_bytes(targets: usize) -> u64 {
    DATAGRAM_BYTES + TARGET_BYTES * targets as u64
}
