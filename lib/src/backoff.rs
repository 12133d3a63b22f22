//! Exponential backoff with jitter between calls that fail.

use std::time::Duration;

use crate::random::Random;

/// Upper bound of the backoff after a failed call.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Half of the upper bound of the backoff after the first failure.
const BACKOFF_UNIT: Duration = Duration::from_millis(100);

/// Returns the backoff after a number of consecutive failures: a random duration (full jitter)
/// whose upper bound doubles with each failure, up to [`MAX_BACKOFF`].
pub fn backoff(random: &dyn Random, failures: u32) -> Duration {
    let bound = BACKOFF_UNIT.saturating_mul(1 << failures.min(16)).min(MAX_BACKOFF);
    let bound = u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(random.below(bound + 1))
}
