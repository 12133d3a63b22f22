//! Weights of targets that answer slowly, decided by the instance that collects the counts of all
//! others for a target.
//!
//! Load pattern: a target that turned slow takes several times as long for every request, and each
//! instance sees it about once in 5 s. A healthy target answers a few per cent of its requests as
//! slowly, in chance runs. So a weight falls only if the pooled share of slow answers is far above
//! that of the service by more than chance, also without the reporter that found most of them: a
//! single instance with a bad link lowers nothing. The counts start anew at each change, so that
//! one span of slow answers is not counted twice.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_counts::{AnswerCounts, AnswerSums, RecentAnswers};
use crate::ids::InstanceId;

/// Factor on the usual share of slow answers of a service. Only a share above the product is a sign
/// of a slow target.
const USUAL_SHARE_FACTOR: f64 = 1.5;
/// Least share of slow answers that is taken for a sign of a slow target.
const MIN_SLOW_SHARE: f64 = 0.2;
/// Largest such share. Beyond it the service as a whole is slow.
const MAX_SLOW_SHARE: f64 = 0.5;
/// Standard deviations by which the slow answers must exceed the expected number.
const SIGNIFICANCE: f64 = 4.0;
/// Recent answers from which a weight may fall.
pub const MIN_ANSWERS: f64 = 6.0;
/// Recent answers from which a weight may rise.
const MIN_ANSWERS_TO_RAISE: f64 = 5.0;
/// Largest share of slow answers with which a weight rises.
const MAX_SHARE_TO_RAISE: f64 = 0.15;
/// Time at one weight after which it rises unless there are answers that speak against it.
pub const SILENCE_TO_RAISE: Duration = Duration::from_secs(6);
/// Time without a report after which a target is forgotten.
pub const REPORT_RETENTION: Duration = Duration::from_secs(4);

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

/// Change of a target's weight, with the counts that it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightChange {
    /// Index of the target.
    pub target: usize,
    /// Weight before the change.
    pub from: WeightClass,
    /// Weight after the change.
    pub to: WeightClass,
    /// Recent answers and slow answers, without the reporter that found most slow ones.
    pub sums: AnswerSums,
    /// Number of instances that reported on the target.
    pub reporters: usize,
    /// Share of slow answers of the service, from 0 to 1.
    pub usual_share: f64,
}

/// What is collected about one target.
#[derive(Debug)]
struct CollectedAnswers {
    class: WeightClass,
    changed_at: Instant,
    reported_at: Instant,
    by_reporter: BTreeMap<InstanceId, RecentAnswers>,
}

/// Weights of the targets whose counts this instance collects.
#[derive(Debug, Default)]
pub struct TargetWeights {
    targets: BTreeMap<usize, CollectedAnswers>,
}

impl TargetWeights {
    /// Records the counts that an instance reported for a target. `in_force` is the weight of the
    /// target, which is adopted if another instance collected its counts before.
    pub fn record(
        &mut self,
        target: usize,
        in_force: WeightClass,
        reporter: &InstanceId,
        counts: AnswerCounts,
        now: Instant,
    ) {
        let new_target = || CollectedAnswers {
            class: in_force,
            changed_at: now,
            reported_at: now,
            by_reporter: BTreeMap::new(),
        };
        let collected = self.targets.entry(target).or_insert_with(new_target);
        collected.reported_at = now;
        let new_answers = || RecentAnswers::new(now);
        let recent = collected.by_reporter.entry(reporter.clone()).or_insert_with(new_answers);
        let outliers = counts.outliers.min(counts.answers);
        recent.add(AnswerCounts { outliers, ..counts }, now);
    }

    /// Forgets a target, for example after its restart.
    pub fn forget(&mut self, target: usize) {
        self.targets.remove(&target);
    }

    /// Changes the weights that the counts call for, each by one step. `usual_share` returns the
    /// share of slow answers of a target's service; `is_alone` is whether no other instance could
    /// report.
    pub fn evaluate(
        &mut self,
        usual_share: impl Fn(usize) -> f64,
        is_alone: bool,
        now: Instant,
    ) -> Vec<WeightChange> {
        self.targets.retain(|_, collected| now < collected.reported_at + REPORT_RETENTION);
        let mut changes = Vec::new();
        for (target, collected) in &mut self.targets {
            let usual_share = usual_share(*target);
            let sums = collected.credible_sums(is_alone, now);
            let to = collected.class_after(sums, usual_share, now);
            let from = collected.class;
            if to == from {
                continue;
            }
            let reporters = collected.by_reporter.len();
            changes.push(WeightChange { target: *target, from, to, sums, reporters, usual_share });
            collected.class = to;
            collected.changed_at = now;
            collected.by_reporter.clear();
        }
        changes
    }

    /// Returns the collected targets whose weight is not full.
    pub fn lowered(&self) -> impl Iterator<Item = (usize, WeightClass)> + '_ {
        let classes = self.targets.iter().map(|(target, collected)| (*target, collected.class));
        classes.filter(|(_, class)| *class != WeightClass::Full)
    }
}

impl CollectedAnswers {
    /// Returns the sum over all reporters without the one that found most slow answers, or over all
    /// if there can be only one.
    fn credible_sums(&self, is_alone: bool, now: Instant) -> AnswerSums {
        let mut reports: Vec<_> = self.by_reporter.values().map(|it| it.sums(now)).collect();
        reports.sort_by(|a, b| a.outliers.total_cmp(&b.outliers));
        if !is_alone {
            reports.pop();
        }
        reports.into_iter().fold(AnswerSums::default(), AnswerSums::plus)
    }

    fn class_after(&self, sums: AnswerSums, usual_share: f64, now: Instant) -> WeightClass {
        let share = (usual_share * USUAL_SHARE_FACTOR).clamp(MIN_SLOW_SHARE, MAX_SLOW_SHARE);
        if sums.answers >= MIN_ANSWERS && sums.outliers >= significant_outliers(sums, share) {
            return self.class.lowered();
        }
        let is_fast =
            sums.answers >= MIN_ANSWERS_TO_RAISE && sums.outlier_share() <= MAX_SHARE_TO_RAISE;
        let is_silent =
            sums.answers < MIN_ANSWERS_TO_RAISE && now >= self.changed_at + SILENCE_TO_RAISE;
        if is_fast || is_silent {
            return self.class.raised();
        }
        self.class
    }
}

/// Returns the number of slow answers that chance does not explain if `share` of them are expected.
fn significant_outliers(sums: AnswerSums, share: f64) -> f64 {
    let expected = sums.answers * share;
    expected + SIGNIFICANCE * (expected * (1.0 - share)).sqrt()
}
