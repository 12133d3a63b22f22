//! The rate limit allows one log line per interval and counts the suppressed ones.

use hollyhead::log_limit::{LogLimit, INTERVAL};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn allow_within_interval_is_counted() {
    let limit = LogLimit::default();
    assert_eq!(limit.allow(Instant::now()), Some(0));
    assert_eq!(limit.allow(Instant::now()), None);
    assert_eq!(limit.allow(Instant::now()), None);
    tokio::time::advance(INTERVAL).await;
    assert_eq!(limit.allow(Instant::now()), Some(2));
}
