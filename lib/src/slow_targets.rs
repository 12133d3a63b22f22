//! Lower weights for targets that answer slowly, from what all instances observe.
//!
//! Load pattern: a part of the targets takes several times as long for every request, while each
//! instance sees only a few of their answers. Instances report counts to the collector of each
//! group of targets ([`crate::answer_reports`]), which lowers and raises weights
//! ([`crate::target_weight`]) and announces them. An announcement expires unless it is renewed, so
//! that the verdict of an instance that died does not stay. Every instance checks by itself that
//! only a part of a service is lowered: if more of it looks slow, the rest could not carry the load,
//! and all of it keeps its weight.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_counts::AnswerCounts;
use crate::answer_outliers::{AnswerOutliers, ObservedAnswer};
use crate::answer_reports::{wire_counts, AnswerReports, DueReport, REPORT_INTERVAL};
use crate::collections::HashMap;
use crate::directory_message::{AnnouncedWeight, DirectoryMessage, TargetAnswers};
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::target_table::TargetTable;
use crate::target_weight::{TargetWeights, WeightChange, WeightClass};
use crate::view::{Member, View};

/// Time between two evaluations of the collected counts.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an instance is told the weights again, if the pace allows. Changes are announced
/// before within the data centre, whose instances send most flows to its targets.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which an announced weight expires. It exceeds the time in which a collector tells 300
/// instances.
pub const WEIGHT_VALIDITY: Duration = Duration::from_secs(30);
/// Largest share of a service's targets in use whose weight is lowered, in percent.
pub const MAX_LOWERED_PERCENT: usize = 30;
/// Largest number of bytes of the announcements that follow an evaluation.
const ANNOUNCED_BYTES: usize = 1_800;
/// Bytes of a datagram without its weights: the envelope with the names of instances.
const DATAGRAM_BYTES: usize = 64;
/// Largest number of bytes of a weight in a datagram.
const WEIGHT_BYTES: usize = 6;
/// Factor by which instances of the collector's own data centre are told more often than others.
const LOCAL_WAIT_FACTOR: u32 = 4;
/// Largest number of weights in a datagram.
const MAX_ANNOUNCED_TARGETS: usize = 64;

/// Message to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightMessage {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// Contents.
    pub message: DirectoryMessage,
}

#[derive(Clone, Copy, Debug)]
struct WeightInForce {
    class: WeightClass,
    until: Instant,
}

/// Observes answers, collects the counts of other instances, and keeps the announced weights.
#[derive(Debug)]
pub struct SlowTargets {
    id: InstanceId,
    data_centre: DataCentreId,
    outliers: AnswerOutliers,
    reports: AnswerReports,
    weights: TargetWeights,
    /// Announced weights that are not full.
    in_force: BTreeMap<usize, WeightInForce>,
    /// Targets whose weight rose to the full one, with the time, until all instances know.
    raised: BTreeMap<usize, Instant>,
    /// Times at which the other instances were last told the weights.
    told_at: HashMap<InstanceId, Instant>,
    /// Targets whose weight in the target table is not full.
    applied: BTreeSet<usize>,
    reported_at: Option<Instant>,
    evaluated_at: Option<Instant>,
    changed_at: Option<Instant>,
    messages: Vec<WeightMessage>,
    changes: Vec<WeightChange>,
}

impl SlowTargets {
    /// Creates the state of an instance in a data centre.
    pub fn new(id: InstanceId, data_centre: DataCentreId) -> Self {
        Self {
            id,
            data_centre,
            outliers: AnswerOutliers::default(),
            reports: AnswerReports::default(),
            weights: TargetWeights::default(),
            in_force: BTreeMap::new(),
            raised: BTreeMap::new(),
            told_at: HashMap::default(),
            applied: BTreeSet::new(),
            reported_at: None,
            evaluated_at: None,
            changed_at: None,
            messages: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Records an answer that this instance observed.
    pub fn on_answer(&mut self, answer: &ObservedAnswer<'_>, now: Instant) {
        self.outliers.record(answer, now);
    }

    /// Returns the answers that this instance observed.
    pub fn outliers(&self) -> &AnswerOutliers {
        &self.outliers
    }

    /// Returns the answers that a target gives per second; `None` if its counts are not collected here.
    pub fn answers_per_second(&self, target: usize, now: Instant) -> Option<f64> {
        self.weights.answers_per_second(target, now)
    }

    /// Notices whether the instance was kept from running. Called at the start of each tick.
    pub fn start_tick(&mut self, now: Instant) {
        self.outliers.on_tick(now);
    }

    /// Reports counts, evaluates collected ones, and applies weights, each when it is due.
    pub fn tick(&mut self, view: &View, targets: &mut TargetTable, now: Instant) {
        if is_due(self.reported_at, REPORT_INTERVAL, now) {
            self.reported_at = Some(now);
            self.report(view, targets, now);
        }
        if is_due(self.evaluated_at, EVALUATION_INTERVAL, now) {
            self.evaluated_at = Some(now);
            self.evaluate(view, targets, now);
            self.in_force.retain(|_, weight| now < weight.until);
            self.apply(targets);
        }
    }

    /// Records the report of another instance.
    pub fn on_report(
        &mut self,
        from: &Member,
        report: &[TargetAnswers],
        targets: &TargetTable,
        now: Instant,
    ) {
        for answers in report {
            let Some(target) = targets.index_by_cookie(answers.cookie) else { continue };
            let counts = AnswerCounts { answers: answers.answers, outliers: answers.outliers };
            let service = &targets.get(target).registration.service;
            let class = self.class_in_force(target);
            self.weights.record((target, service), class, &from.id, counts, now);
        }
    }

    /// Records the weights that a collector announced. Only an instance in the data centre of a
    /// target collects its counts, unless there is none.
    pub fn on_weights(
        &mut self,
        from: &Member,
        weights: &[AnnouncedWeight],
        view: &View,
        targets: &mut TargetTable,
        now: Instant,
    ) {
        for weight in weights {
            let Some(target) = targets.index_by_cookie(weight.cookie) else { continue };
            let data_centre = &targets.get(target).registration.data_centre;
            let is_collector =
                from.data_centre == *data_centre || view.eligible_in(data_centre).next().is_none();
            if is_collector {
                self.weights.adopt(target, weight.class);
                self.raised.remove(&target);
                self.put_in_force(target, weight.class, now);
            }
        }
        self.apply(targets);
    }

    /// Forgets what is known of a target that started again.
    pub fn forget(&mut self, target: usize) {
        self.in_force.remove(&target);
        self.raised.remove(&target);
        self.weights.forget(target);
    }

    /// Returns the messages to other instances since the last call.
    pub fn take_messages(&mut self) -> Vec<WeightMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Returns the changes of weights that this instance decided on since the last call.
    pub fn take_changes(&mut self) -> Vec<WeightChange> {
        std::mem::take(&mut self.changes)
    }

    fn report(&mut self, view: &View, targets: &TargetTable, now: Instant) {
        let batch = self.outliers.take_batch(now);
        for due in self.reports.take_due(batch, targets, now) {
            let Some(collector) = due.group.collector(view) else { continue };
            if collector.id == self.id {
                self.collect_own(&due, targets, now);
                continue;
            }
            let message =
                DirectoryMessage::AnswerReport { targets: wire_counts(&due.counts, targets) };
            self.messages.push(WeightMessage { to: vec![collector.peer], message });
        }
    }

    fn collect_own(&mut self, report: &DueReport, targets: &TargetTable, now: Instant) {
        for (target, counts) in &report.counts {
            let service = &targets.get(*target).registration.service;
            let class = self.class_in_force(*target);
            self.weights.record((*target, service), class, &self.id, *counts, now);
        }
    }

    fn evaluate(&mut self, view: &View, targets: &TargetTable, now: Instant) {
        let is_alone = view.members().iter().all(|member| member.id == self.id);
        let outliers = &self.outliers;
        let local_outlier_share = |service: &str| outliers.outlier_share(service, now);
        let changes = self.weights.evaluate(local_outlier_share, is_alone, now);
        for change in &changes {
            self.changed_at = Some(now);
            self.put_in_force(change.target, change.to, now);
            if change.to == WeightClass::Full {
                self.raised.insert(change.target, now);
            } else {
                self.raised.remove(&change.target);
            }
        }
        self.changes.extend(changes);
        self.raised.retain(|_, at| now < *at + WEIGHT_VALIDITY);
        let raised = self.raised.keys().map(|target| (*target, WeightClass::Full));
        let mut announced: BTreeMap<_, _> = raised.collect();
        let lowered: Vec<_> = self.weights.lowered().collect();
        for (target, class) in lowered {
            self.put_in_force(target, class, now);
            announced.insert(target, class);
        }
        if !announced.is_empty() {
            self.announce(&announced, view, targets, now);
        }
    }

    fn announce(
        &mut self,
        weights: &BTreeMap<usize, WeightClass>,
        view: &View,
        targets: &TargetTable,
        now: Instant,
    ) {
        let datagrams = weights.len().div_ceil(MAX_ANNOUNCED_TARGETS);
        let bytes = datagrams * DATAGRAM_BYTES + weights.len() * WEIGHT_BYTES;
        let to = self.take_recipients(view, (ANNOUNCED_BYTES / bytes).max(1), now);
        if to.is_empty() {
            return;
        }
        let weight = |(target, class): (&usize, &WeightClass)| AnnouncedWeight {
            cookie: targets.get(*target).cookie,
            class: *class,
        };
        let weights: Vec<_> = weights.iter().map(weight).collect();
        for part in weights.chunks(MAX_ANNOUNCED_TARGETS) {
            let message = DirectoryMessage::WeightReport { targets: part.to_vec() };
            self.messages.push(WeightMessage { to: to.clone(), message });
        }
    }

    /// Returns the instances that are told the weights now, at most `count`: those that have waited
    /// longest, where the time counts more within the data centre.
    fn take_recipients(&mut self, view: &View, count: usize, now: Instant) -> Vec<SocketAddr> {
        self.told_at.retain(|id, _| view.members().iter().any(|member| member.id == *id));
        let mut due: Vec<_> = view
            .members()
            .iter()
            .filter(|member| member.id != self.id && self.is_due_to_hear(member, now))
            .map(|member| (self.waiting_time(member, now), member))
            .collect();
        due.sort_by_key(|(waiting_time, _)| std::cmp::Reverse(*waiting_time));
        due.truncate(count);
        let ids = due.iter().map(|(_, member)| (member.id.clone(), now));
        self.told_at.extend(ids);
        due.into_iter().map(|(_, member)| member.peer).collect()
    }

    fn is_due_to_hear(&self, member: &Member, now: Instant) -> bool {
        let told_at = self.told_at.get(&member.id).copied();
        let is_local = member.data_centre == self.data_centre;
        is_due(told_at, RENEWAL_INTERVAL, now) || (is_local && told_at < self.changed_at)
    }

    fn waiting_time(&self, member: &Member, now: Instant) -> Duration {
        let told_at = self.told_at.get(&member.id);
        let waited = told_at.map_or(WEIGHT_VALIDITY, |at| now.saturating_duration_since(*at));
        let is_local = member.data_centre == self.data_centre;
        waited * if is_local { LOCAL_WAIT_FACTOR } else { 1 }
    }

    fn class_in_force(&self, target: usize) -> WeightClass {
        self.in_force.get(&target).map_or(WeightClass::Full, |weight| weight.class)
    }

    fn put_in_force(&mut self, target: usize, class: WeightClass, now: Instant) {
        if class == WeightClass::Full {
            self.in_force.remove(&target);
        } else {
            self.in_force.insert(target, WeightInForce { class, until: now + WEIGHT_VALIDITY });
        }
    }

    /// Sets the weights of the targets, except for services of which too large a part would be
    /// lowered.
    fn apply(&mut self, targets: &mut TargetTable) {
        let mut by_service: BTreeMap<ServiceId, Vec<usize>> = BTreeMap::new();
        for target in self.in_force.keys() {
            let entry = targets.get(*target);
            if entry.accepts_new_flows() {
                by_service.entry(entry.registration.service.clone()).or_default().push(*target);
            }
        }
        by_service.retain(|service, lowered| may_lower(lowered.len(), service, targets));
        let lowered: BTreeSet<_> = by_service.into_values().flatten().collect();
        for target in self.applied.difference(&lowered) {
            targets.set_weight(*target, WeightClass::Full);
        }
        for target in &lowered {
            targets.set_weight(*target, self.class_in_force(*target));
        }
        self.applied = lowered;
    }
}

/// Returns whether a number of a service's targets in use may be lowered at the same time.
fn may_lower(lowered: usize, service: &str, targets: &TargetTable) -> bool {
    let indices = targets.indices_by_service(service).iter();
    let in_use = indices.filter(|index| targets.get(**index).accepts_new_flows()).count();
    lowered * 100 <= in_use * MAX_LOWERED_PERCENT
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + interval)
}
