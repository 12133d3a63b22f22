//! Rate limit on log lines that packets from outside can trigger.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Minimum time between two lines of the same kind.
pub const INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct State {
    last_allowed: Option<Instant>,
    suppressed: u64,
}

/// Rate limit of one line per [`INTERVAL`], which counts the suppressed lines.
#[derive(Debug, Default)]
pub struct LogLimit {
    state: Mutex<State>,
}

impl LogLimit {
    /// Returns the number of lines suppressed since the last allowed one when another line is
    /// allowed, `None` when it is suppressed.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock();
        if state.last_allowed.is_some_and(|last| now < last + INTERVAL) {
            state.suppressed += 1;
            return None;
        }
        state.last_allowed = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}
