//! Tests of the work that is learned for each route.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};
use hollyhead::route_work::{Answer, RouteWork, MIN_SAMPLES, WINDOW};
use tokio::time::Instant;

const WORK: Duration = Duration::from_millis(30);

fn record(work: &mut RouteWork, route: &str, time: Duration, now: Instant) -> Answer {
    work.record(&route.into(), &"desk".into(), time, now)
}

fn learned(times: impl Iterator<Item = Duration>) -> RouteWork {
    let mut work = RouteWork::default();
    let now = Instant::now();
    times.for_each(|time| {
        record(&mut work, "query", time, now);
    });
    work
}

fn assert_near(estimate: Option<Duration>, expected: Duration) {
    let estimate = estimate.unwrap();
    assert!(estimate.abs_diff(expected) <= expected / 5, "{estimate:?} for {expected:?}");
}

/// Load: 3 % of the requests take 7 times as long as the others.
#[test]
fn work_heavy_tail_does_not_change_it() {
    let times = (0..1_000).map(|number| if number % 33 == 0 { WORK * 7 } else { WORK });
    assert_near(learned(times).work("query", "desk"), WORK);
}

/// Load: two thirds of the requests wait at busy targets, up to four times as long as they run.
#[test]
fn work_queue_of_targets_does_not_change_it() {
    let random = SeededRandom::new(3);
    let wait = |number: u64| if number % 3 == 0 { 0 } else { random.below(120) };
    let times = (0..1_000).map(|number| WORK + Duration::from_millis(wait(number)));
    assert_near(learned(times).work("query", "desk"), WORK);
}

#[test]
fn work_unknown_route_gets_that_of_its_service() {
    let work = learned((0..MIN_SAMPLES).map(|_| WORK));
    assert_near(work.work("reserve", "desk"), WORK);
    assert_eq!(work.work("reserve", "other"), None);
    assert_eq!(learned((1..MIN_SAMPLES).map(|_| WORK)).work("query", "desk"), None);
}

/// Load: full targets turn away most requests, which takes a millisecond.
#[test]
fn record_quick_answers_are_turned_away_and_not_learned() {
    let mut work = learned((0..100).map(|_| WORK));
    let now = Instant::now();
    for _ in 0..1_000 {
        assert_eq!(record(&mut work, "query", Duration::from_millis(1), now), Answer::TurnedAway);
    }
    assert_eq!(record(&mut work, "query", WORK / 2, now), Answer::Served);
    assert_near(work.work("query", "desk"), WORK);
}

/// Load: the requests become 20 times as quick for good, which looks like full targets at first.
#[test]
fn record_changed_work_is_learned_after_two_windows() {
    let mut work = learned((0..100).map(|_| WORK));
    let quick = WORK / 20;
    let mut now = Instant::now();
    for _ in 0..300 {
        now += WINDOW / 100;
        record(&mut work, "query", quick, now);
    }
    assert_near(work.work("query", "desk"), quick);
    assert_eq!(record(&mut work, "query", quick, now), Answer::Served);
}
