//! Weights of targets that answer slowly, decided by the instance that collects the counts of all
//! others for a target.
//!
//! Load pattern: a target that turned slow takes several times as long for every request, and each
//! instance sees it about once in 5 s. A healthy target answers a few per cent of its requests as
//! slowly, and more in a row while long ones occupy its slots. The decision is a sequential test
//! (CUSUM) on the pooled answers: each slow answer is evidence for a slow target and each other
//! answer against it, by their likelihoods, and the sum never falls below zero, so that what was
//! before the change does not delay the decision. The expected share of slow answers follows that of
//! the other targets: when the service as a whole turns slow, nothing is evidence. A weight falls
//! only if the evidence without its strongest reporter suffices too, so that a single instance with
//! a bad link lowers nothing. A second sum raises weights again.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_counts::{AnswerCounts, AnswerSums, RecentAnswers, DECAY_TIME};
use crate::collections::{HashMap, HashSet};
use crate::ids::{InstanceId, ServiceId};

/// Share of slow answers of a slow target. The others of its answers are short requests.
const SLOW_TARGET_SHARE: f64 = 0.7;
/// Share of slow answers from which a weight that was lowered does not rise. It is smaller, since few
/// requests of a target with a low weight wait for others.
const STILL_SLOW_SHARE: f64 = 0.5;
/// Factor on the share of slow answers of the other targets, up to which a target is one of them.
const USUAL_SHARE_FACTOR: f64 = 2.0;
/// Least share of slow answers that a healthy target may have, because it queues requests at times.
const MIN_USUAL_SHARE: f64 = 0.2;
/// Share of slow answers from which the service as a whole is slow, and no target slower than it.
const MAX_USUAL_SHARE: f64 = 0.4;
/// Recent answers of the other targets from which their share of slow ones is known.
const MIN_USUAL_ANSWERS: f64 = 20.0;
/// Evidence that lowers a weight, as a logarithm: that of 16 slow answers in a row. Two long requests
/// that occupy a target's slots delay fewer.
pub const EVIDENCE_TO_LOWER: f64 = 20.0;
/// Evidence from which a target may be slow.
const EVIDENCE_TO_SUSPECT: f64 = EVIDENCE_TO_LOWER / 4.0;
/// Largest share of the collected targets of a service that may be slow at the same time, in percent.
/// If more may be, the service as a whole is turning slow, and no weight falls.
const MAX_SUSPECTED_PERCENT: usize = 30;
/// Part of [`EVIDENCE_TO_LOWER`] that must come from others than the strongest reporter.
const EVIDENCE_OF_OTHERS: f64 = EVIDENCE_TO_LOWER / 2.0;
/// Evidence that raises a weight, as a logarithm: that of 11 answers in usual time in a row.
pub const EVIDENCE_TO_RAISE: f64 = 5.0;
/// Part of [`EVIDENCE_TO_RAISE`] that must come from others than the strongest reporter.
const RAISING_EVIDENCE_OF_OTHERS: f64 = EVIDENCE_TO_RAISE / 4.0;
/// Largest number of answers of a target in a report that counts. One instance sees fewer of them.
pub const MAX_REPORTED_ANSWERS: u32 = 1_000;
/// Time without a report after which a target is forgotten.
pub const REPORT_RETENTION: Duration = Duration::from_secs(8);

copy_type! {
    /// Weight of a target among the targets of its service.
    #[derive(Default)]
    pub enum WeightClass {
        /// The target gets its share of the flows.
        #[default]
        Full,
        /// The target gets half of its share.
        Half,
        /// The target gets a quarter of its share.
        Quarter,
    }
}

impl WeightClass {
    /// Returns the weight in thousandths of the full one.
    pub fn per_mille(self) -> u32 {
        1_000 / self.divisor()
    }

    /// Returns the number by which the flows of a target are divided.
    pub fn divisor(self) -> u32 {
        match self {
            Self::Full => 1,
            Self::Half => 2,
            Self::Quarter => 4,
        }
    }

    /// Returns the name of the class in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "1000",
            Self::Half => "500",
            Self::Quarter => "250",
        }
    }

    fn lowered(self) -> Self {
        match self {
            Self::Full => Self::Half,
            Self::Half | Self::Quarter => Self::Quarter,
        }
    }

    fn raised(self) -> Self {
        match self {
            Self::Quarter => Self::Half,
            Self::Half | Self::Full => Self::Full,
        }
    }
}

/// Change of a target's weight, with what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightChange {
    /// Index of the target.
    pub target: usize,
    /// Weight before the change.
    pub from: WeightClass,
    /// Weight after the change.
    pub to: WeightClass,
    /// Recent answers and slow answers of the target.
    pub sums: AnswerSums,
    /// Number of instances whose answers are evidence that the target is slow.
    pub reporters: usize,
    /// Share of slow answers that a healthy target may have, from 0 to 1.
    pub usual_share: f64,
}

/// Evidence that one answer adds, as logarithms of the ratio of likelihoods between a slow and a
/// healthy target.
#[derive(Clone, Copy, Debug)]
struct AnswerEvidence {
    outlier: f64,
    other: f64,
}

impl AnswerEvidence {
    /// Returns the evidence for the shares of slow answers of a slow and of a healthy target.
    fn new(slow_share: f64, usual_share: f64) -> Self {
        Self {
            outlier: (slow_share / usual_share).ln(),
            other: ((1.0 - slow_share) / (1.0 - usual_share)).ln(),
        }
    }

    fn of(self, counts: AnswerCounts) -> f64 {
        let others = counts.answers - counts.outliers;
        self.outlier * f64::from(counts.outliers) + self.other * f64::from(others)
    }
}

/// What is collected about one target.
#[derive(Debug)]
struct CollectedAnswers {
    service: ServiceId,
    class: WeightClass,
    reported_at: Instant,
    recent: RecentAnswers,
    /// Share of slow answers that a healthy target may have at present.
    usual_share: f64,
    /// Counts since the last evaluation.
    fresh: BTreeMap<InstanceId, AnswerCounts>,
    /// Evidence that the target is slow, by reporter, since their sum was last zero.
    slow_evidence: BTreeMap<InstanceId, f64>,
    /// Evidence that the target is as fast as others, by reporter, since their sum was last zero.
    fast_evidence: BTreeMap<InstanceId, f64>,
}

/// Weights of the targets whose counts this instance collects.
#[derive(Debug, Default)]
pub struct TargetWeights {
    targets: BTreeMap<usize, CollectedAnswers>,
}

impl TargetWeights {
    /// Records the counts that an instance reported for a target of `service`. `in_force` is the
    /// weight of the target, which is adopted if another instance collected its counts before.
    pub fn record(
        &mut self,
        (target, service): (usize, &ServiceId),
        in_force: WeightClass,
        reporter: &InstanceId,
        counts: AnswerCounts,
        now: Instant,
    ) {
        let new_target = || CollectedAnswers {
            service: service.clone(),
            class: in_force,
            reported_at: now,
            recent: RecentAnswers::new(now),
            usual_share: MIN_USUAL_SHARE,
            fresh: BTreeMap::new(),
            slow_evidence: BTreeMap::new(),
            fast_evidence: BTreeMap::new(),
        };
        let collected = self.targets.entry(target).or_insert_with(new_target);
        let answers = counts.answers.min(MAX_REPORTED_ANSWERS);
        let counts = AnswerCounts { answers, outliers: counts.outliers.min(answers) };
        collected.reported_at = now;
        collected.recent.add(counts, now);
        collected.fresh.entry(reporter.clone()).or_default().add(counts);
    }

    /// Adopts the weight that another instance announced for a target whose counts reach both, as
    /// while views of the membership differ.
    pub fn adopt(&mut self, target: usize, class: WeightClass) {
        let collected = self.targets.get_mut(&target).filter(|it| it.class != class);
        if let Some(collected) = collected {
            collected.change(class);
        }
    }

    /// Returns the answers that a target gives per second; `None` if its counts are not collected here.
    pub fn answers_per_second(&self, target: usize, now: Instant) -> Option<f64> {
        let sums = self.targets.get(&target)?.recent.sums(now);
        Some(sums.answers / DECAY_TIME.as_secs_f64())
    }

    /// Forgets a target, for example after its restart.
    pub fn forget(&mut self, target: usize) {
        self.targets.remove(&target);
    }

    /// Changes the weights that the counts call for, each by one step. `local_outlier_share` returns the share
    /// of slow answers of a service that this instance observed itself; `is_alone` is whether no
    /// other instance could report.
    pub fn evaluate(
        &mut self,
        local_outlier_share: impl Fn(&str) -> f64,
        is_alone: bool,
        now: Instant,
    ) -> Vec<WeightChange> {
        self.targets.retain(|_, collected| now < collected.reported_at + REPORT_RETENTION);
        let totals = self.sums_by_service(now);
        for collected in self.targets.values_mut() {
            let total = totals.get(&collected.service).copied().unwrap_or_default();
            let others = total.minus(collected.recent.sums(now));
            let is_known = others.answers >= MIN_USUAL_ANSWERS;
            let others_share = if is_known { others.outlier_share() } else { 0.0 };
            let share = others_share.max(local_outlier_share(&collected.service));
            collected.usual_share = (share * USUAL_SHARE_FACTOR).max(MIN_USUAL_SHARE);
            collected.add_evidence();
        }
        let slow_services = self.slow_services();
        let mut changes = Vec::new();
        for (target, collected) in &mut self.targets {
            let may_fall = !slow_services.contains(&collected.service);
            let (from, to) = (collected.class, collected.next_class(is_alone));
            if to == from || (to.per_mille() < from.per_mille() && !may_fall) {
                continue;
            }
            changes.push(WeightChange {
                target: *target,
                from,
                to,
                sums: collected.recent.sums(now),
                reporters: collected.slow_evidence.len(),
                usual_share: collected.usual_share,
            });
            collected.change(to);
        }
        changes
    }

    /// Returns the collected targets whose weight is not full.
    pub fn lowered(&self) -> impl Iterator<Item = (usize, WeightClass)> + '_ {
        let classes = self.targets.iter().map(|(target, collected)| (*target, collected.class));
        classes.filter(|(_, class)| *class != WeightClass::Full)
    }

    fn sums_by_service(&self, now: Instant) -> HashMap<ServiceId, AnswerSums> {
        let mut totals: HashMap<ServiceId, AnswerSums> = HashMap::default();
        for collected in self.targets.values() {
            let total = totals.entry(collected.service.clone()).or_default();
            *total = total.plus(collected.recent.sums(now));
        }
        totals
    }

    /// Returns the services of which more targets may be slow than may be lowered.
    fn slow_services(&self) -> HashSet<ServiceId> {
        let mut counts: HashMap<ServiceId, (usize, usize)> = HashMap::default();
        for collected in self.targets.values() {
            let (suspected, all) = counts.entry(collected.service.clone()).or_default();
            *suspected += usize::from(collected.is_suspected());
            *all += 1;
        }
        let is_slow = |(suspected, all): (usize, usize)| {
            suspected > 1 && suspected * 100 > all * MAX_SUSPECTED_PERCENT
        };
        let slow = counts.into_iter().filter(|(_, counts)| is_slow(*counts));
        slow.map(|(service, _)| service).collect()
    }
}

impl CollectedAnswers {
    fn is_suspected(&self) -> bool {
        let slow_evidence: f64 = self.slow_evidence.values().sum();
        self.class != WeightClass::Full || slow_evidence >= EVIDENCE_TO_SUSPECT
    }

    /// Adds the evidence of the fresh counts. There is none while the service as a whole is slow.
    fn add_evidence(&mut self) {
        let fresh = std::mem::take(&mut self.fresh);
        if self.usual_share >= MAX_USUAL_SHARE {
            return self.slow_evidence.clear();
        }
        let for_slow = AnswerEvidence::new(SLOW_TARGET_SHARE, self.usual_share);
        let for_still_slow = AnswerEvidence::new(STILL_SLOW_SHARE, self.usual_share);
        for (reporter, counts) in fresh {
            *self.slow_evidence.entry(reporter.clone()).or_default() += for_slow.of(counts);
            *self.fast_evidence.entry(reporter).or_default() -= for_still_slow.of(counts);
        }
        if self.slow_evidence.values().sum::<f64>() <= 0.0 {
            self.slow_evidence.clear();
        }
        if self.fast_evidence.values().sum::<f64>() <= 0.0 {
            self.fast_evidence.clear();
        }
    }

    fn next_class(&self, is_alone: bool) -> WeightClass {
        let is_enough = |evidence: &BTreeMap<InstanceId, f64>, least: f64, of_others: f64| {
            let sum: f64 = evidence.values().sum();
            let strongest = evidence.values().copied().fold(0.0, f64::max);
            sum >= least && (is_alone || sum - strongest >= of_others)
        };
        if is_enough(&self.slow_evidence, EVIDENCE_TO_LOWER, EVIDENCE_OF_OTHERS) {
            self.class.lowered()
        } else if is_enough(&self.fast_evidence, EVIDENCE_TO_RAISE, RAISING_EVIDENCE_OF_OTHERS) {
            self.class.raised()
        } else {
            self.class
        }
    }

    /// Sets the weight, after which evidence is collected anew.
    fn change(&mut self, class: WeightClass) {
        self.class = class;
        self.fresh.clear();
        self.slow_evidence.clear();
        self.fast_evidence.clear();
    }
}
