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
use crate::directory_message::{AnnouncedWeight, DirectoryMessage, TargetAnswers};
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::target_table::TargetTable;
use crate::target_weight::{TargetWeights, WeightChange, WeightClass};
use crate::view::{Member, View};

/// Time between two evaluations of the collected counts.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which weights are announced to all instances again. In between, changes are announced
/// within the data centre, whose instances send most flows to its targets.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which an announced weight expires. Two lost renewals do not end it, and a new collector
/// has found out the same by then.
pub const WEIGHT_VALIDITY: Duration = Duration::from_secs(10);
/// Largest share of a service's targets in use whose weight is lowered, in percent.
pub const MAX_LOWERED_PERCENT: usize = 30;
/// Largest number of instances that a collector announces weights to. Those in its own data centre
/// come first, since they send most flows to the targets.
pub const MAX_RECIPIENTS: usize = 320;
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
    /// Changes since the last announcement to all instances.
    changed: BTreeMap<usize, WeightClass>,
    /// Targets whose weight in the target table is not full.
    applied: BTreeSet<usize>,
    reported_at: Option<Instant>,
    evaluated_at: Option<Instant>,
    announced_at: Option<Instant>,
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
            changed: BTreeMap::new(),
            applied: BTreeSet::new(),
            reported_at: None,
            evaluated_at: None,
            announced_at: None,
            messages: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Records an answer that this instance observed.
    pub fn on_answer(&mut self, answer: &ObservedAnswer<'_>, now: Instant) {
        self.outliers.record(answer, now);
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
                self.put_in_force(target, weight.class, now);
            }
        }
        self.apply(targets);
    }

    /// Forgets what is known of a target that started again.
    pub fn forget(&mut self, target: usize) {
        self.in_force.remove(&target);
        self.changed.remove(&target);
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
        let own_share = |service: &str| outliers.outlier_share(service, now);
        let changes = self.weights.evaluate(own_share, is_alone, now);
        let changed: BTreeMap<_, _> = changes.iter().map(|it| (it.target, it.to)).collect();
        self.changes.extend(changes);
        for (target, class) in &changed {
            self.put_in_force(*target, *class, now);
        }
        self.changed.extend(changed.clone());
        let lowered: BTreeMap<_, _> = self.weights.lowered().collect();
        let has_news = !lowered.is_empty() || !self.changed.is_empty();
        if has_news && is_due(self.announced_at, RENEWAL_INTERVAL, now) {
            self.announced_at = Some(now);
            let mut announced = std::mem::take(&mut self.changed);
            for (target, class) in lowered {
                self.put_in_force(target, class, now);
                announced.insert(target, class);
            }
            self.announce(&announced, view, targets, |_| true);
        } else {
            let data_centre = self.data_centre.clone();
            self.announce(&changed, view, targets, |it| it.data_centre == data_centre);
        }
    }

    fn announce(
        &mut self,
        weights: &BTreeMap<usize, WeightClass>,
        view: &View,
        targets: &TargetTable,
        is_recipient: impl Fn(&Member) -> bool,
    ) {
        let others = view.members().iter().filter(|member| member.id != self.id);
        let (near, far): (Vec<_>, Vec<_>) = others
            .filter(|member| is_recipient(member))
            .partition(|member| member.data_centre == self.data_centre);
        let recipients = near.into_iter().chain(far).take(MAX_RECIPIENTS);
        let to: Vec<_> = recipients.map(|member| member.peer).collect();
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
