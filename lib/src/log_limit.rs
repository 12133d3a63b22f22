//! Limit on the rate of log lines that outsiders can cause.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time between two lines of the same kind.
pub const INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

/// Lets one line of a kind pass in each interval, and counts the others.
#[derive(Debug, Default)]
pub struct LogLimit {
    state: Mutex<State>,
}

impl LogLimit {
    /// Returns the number of lines suppressed since the last one when another may pass.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock();
        if state.last.is_some_and(|last| now < last + INTERVAL) {
            state.suppressed += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}
