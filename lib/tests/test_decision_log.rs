//! The rate limit on log lines is separate for each kind and counts the suppressed lines.

use std::time::Duration;

use hollyhead::decision_log::{DecisionLogLimit, LINES_PER_WINDOW, WINDOW};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn allow_storm_of_one_kind_is_bounded_and_counted() {
    let limit = DecisionLogLimit::default();
    let storm = || (0..1_000).filter(|_| limit.allow("no_route", Instant::now()).is_some()).count();
    assert_eq!(storm(), LINES_PER_WINDOW as usize);
    assert_eq!(
        limit.allow("target_down", Instant::now()),
        Some(0),
        "another kind has its own limit"
    );
    tokio::time::advance(WINDOW + Duration::from_millis(1)).await;
    let suppressed = 1_000 - u64::from(LINES_PER_WINDOW);
    assert_eq!(limit.allow("no_route", Instant::now()), Some(suppressed));
}
