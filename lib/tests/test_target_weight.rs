//! Decisions of the instance that collects the counts of a target.

use std::time::Duration;

use hollyhead::answer_counts::AnswerCounts;
use hollyhead::ids::ServiceId;
use hollyhead::target_weight::{
    TargetWeights, WeightClass, MAX_REPORTED_ANSWERS, REPORT_RETENTION,
};
use smol_str::format_smolstr;
use tokio::time::Instant;

const ROUND: Duration = Duration::from_secs(1);
const HEALTHY_TARGETS: usize = 9;

struct Fixture {
    weights: TargetWeights,
    service: ServiceId,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let weights = TargetWeights::default();
        Self { weights, service: "index".into(), now: Instant::now() }
    }

    fn report(&mut self, target: usize, reporter: usize, answers: u32, outliers: u32) {
        let (subject, reporter) = ((target, &self.service), format_smolstr!("front-{reporter}"));
        let counts = AnswerCounts { answers, outliers };
        self.weights.record(subject, WeightClass::Full, &reporter, counts, self.now);
    }

    /// Reports 10 answers for each of the healthy targets, of which a share is slow, and evaluates
    /// all counts.
    fn evaluate(&mut self, outliers: u32) -> Vec<(usize, WeightClass)> {
        for target in 1..=HEALTHY_TARGETS {
            self.report(target, 0, 5, outliers);
            self.report(target, 1, 5, outliers);
        }
        let changes = self.weights.evaluate(|_| 0.0, false, self.now);
        self.now += ROUND;
        changes.into_iter().map(|change| (change.target, change.to)).collect()
    }
}

/// Two instances find 10 of 12 answers a second slow, and later none.
#[test]
fn evaluate_target_falls_and_rises_by_steps() {
    let mut fixture = Fixture::new();
    let mut classes = Vec::new();
    for round in 0..8 {
        let outliers = if round < 4 { 5 } else { 0 };
        fixture.report(0, 0, 6, outliers);
        fixture.report(0, 1, 6, outliers);
        classes.extend(fixture.evaluate(0));
    }
    let expected = [WeightClass::Half, WeightClass::Quarter, WeightClass::Half, WeightClass::Full];
    assert_eq!(classes, expected.map(|class| (0, class)));
}

/// One instance finds all answers slow, and the other one none.
#[test]
fn evaluate_finding_of_one_reporter_is_not_enough() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.report(0, 0, 12, 12);
        fixture.report(0, 1, 3, 0);
        assert_eq!(fixture.evaluate(0), []);
    }
}

/// A target was lowered, and one instance alone reports many answers in usual time.
#[test]
fn evaluate_finding_of_one_reporter_raises_nothing() {
    let mut fixture = Fixture::new();
    let mut falls = 0;
    for round in 0..20 {
        let others = if round < 2 { 9 } else { 6 };
        fixture.report(0, 0, 10, if round < 2 { 9 } else { 0 });
        fixture.report(0, 1, 10, others);
        let changes = fixture.evaluate(0);
        assert!(changes.iter().all(|(_, class)| *class != WeightClass::Full), "{changes:?}");
        falls += changes.len();
    }
    assert!(falls > 0);
}

/// One instance reports a number of answers that none could see.
#[test]
fn record_answers_of_a_report_are_bounded() {
    let mut fixture = Fixture::new();
    fixture.report(0, 0, u32::MAX, u32::MAX);
    let changes = fixture.weights.evaluate(|_| 0.0, true, fixture.now);
    assert!(changes[0].sums.answers <= f64::from(MAX_REPORTED_ANSWERS));
}

/// The only instance of a deployment finds a target slow.
#[test]
fn evaluate_lone_instance_decides_by_itself() {
    let mut fixture = Fixture::new();
    fixture.report(0, 0, 20, 18);
    assert_eq!(fixture.weights.evaluate(|_| 0.0, true, fixture.now).len(), 1);
}

/// A target is as slow as the others of a service that is slow as a whole.
#[test]
fn evaluate_slow_service_lowers_none() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.report(0, 0, 6, 5);
        fixture.report(0, 1, 6, 5);
        assert_eq!(fixture.evaluate(2), []);
    }
}

/// A target of which nothing is reported any more after it was lowered.
#[test]
fn evaluate_target_without_reports_is_forgotten() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        fixture.report(0, 0, 10, 9);
        fixture.report(0, 1, 10, 9);
        fixture.evaluate(0);
    }
    assert_eq!(fixture.weights.lowered().count(), 1);
    fixture.now += REPORT_RETENTION;
    fixture.evaluate(0);
    assert_eq!(fixture.weights.lowered().count(), 0);
}
