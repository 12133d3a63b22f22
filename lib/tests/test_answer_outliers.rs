//! Answers that one instance finds slow, and what it leaves out.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::answer_counts::AnswerCounts;
use hollyhead::answer_outliers::{AnswerOutliers, ObservedAnswer, MAX_TICK_GAP};
use hollyhead::ids::ServiceId;
use tokio::time::Instant;

const AIM: Duration = Duration::from_millis(500);
const USUAL: Duration = Duration::from_millis(40);
const SLOW: Duration = Duration::from_millis(200);
/// Answers after which the usual time of a route is known.
const EARLIER_ANSWERS: usize = 20;

struct Fixture {
    outliers: AnswerOutliers,
    service: ServiceId,
    now: Instant,
}

impl Fixture {
    /// Creates the state of an instance that has observed a number of usual answers on route 1.
    fn new(aim: Duration) -> Self {
        let outliers = AnswerOutliers::default();
        let mut fixture = Self { outliers, service: "index".into(), now: Instant::now() };
        for _ in 0..EARLIER_ANSWERS {
            fixture.answer(1, 9, USUAL, aim);
        }
        fixture.outliers.take_batch(fixture.now);
        fixture
    }

    fn answer(&mut self, route: u16, target: usize, time: Duration, aim: Duration) {
        let answer = ObservedAnswer {
            target,
            service: &self.service,
            data_centre: &"a".into(),
            route: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), route),
            aim,
            time,
        };
        self.outliers.record(&answer, self.now);
    }

    fn counts(&mut self, target: usize) -> Option<AnswerCounts> {
        self.outliers.take_batch(self.now).get(&target).copied()
    }
}

/// One slow answer among usual ones, below and above a fifth of the objective.
#[test]
fn record_slow_answer_is_an_outlier() {
    for (aim, outliers) in [(AIM, 1), (SLOW * 10, 0)] {
        let mut fixture = Fixture::new(aim);
        fixture.answer(1, 0, USUAL * 2, aim);
        fixture.answer(1, 0, SLOW, aim);
        assert_eq!(fixture.counts(0), Some(AnswerCounts { answers: 2, outliers }));
    }
}

/// A second route whose requests usually take as long as slow ones of the first.
#[test]
fn record_long_requests_of_another_route_are_usual() {
    let mut fixture = Fixture::new(AIM);
    for _ in 0..EARLIER_ANSWERS {
        fixture.answer(2, 0, SLOW, AIM);
    }
    assert_eq!(fixture.counts(0).map(|counts| counts.outliers), Some(0));
}

#[test]
fn record_route_without_objective_is_not_observed() {
    let mut fixture = Fixture::new(Duration::ZERO);
    fixture.answer(1, 0, SLOW, Duration::ZERO);
    assert_eq!(fixture.counts(0), None);
}

/// The instance is kept from running while a request waits for its answer.
#[test]
fn record_answer_during_pause_is_left_out() {
    let mut fixture = Fixture::new(AIM);
    fixture.outliers.on_tick(fixture.now);
    fixture.now += MAX_TICK_GAP * 2;
    fixture.answer(1, 0, SLOW, AIM);
    fixture.outliers.on_tick(fixture.now);
    fixture.answer(1, 0, SLOW, AIM);
    assert_eq!(fixture.counts(0), None);
    fixture.now += USUAL;
    fixture.answer(1, 0, USUAL, AIM);
    fixture.outliers.on_tick(fixture.now);
    assert_eq!(fixture.counts(0), Some(AnswerCounts { answers: 1, outliers: 0 }));
}

/// The answers of all targets are slow at this instance.
#[test]
fn take_batch_slow_answers_of_all_targets_are_not_reported() {
    let mut fixture = Fixture::new(AIM);
    for target in 0..EARLIER_ANSWERS / 2 {
        fixture.now += Duration::from_millis(500);
        fixture.answer(1, target, SLOW, AIM);
    }
    assert!(fixture.outliers.outlier_share("index", fixture.now) > 0.5);
    assert_eq!(fixture.counts(1), None);
}
