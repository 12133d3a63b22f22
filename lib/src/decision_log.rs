//! Rate limit on log lines about flows, separate for each kind of line.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::collections::HashMap;

/// Maximum number of lines of one kind in each [`WINDOW`].
pub const LINES_PER_WINDOW: u32 = 10;
/// Length of the window of the rate limit. A window starts with the first line of its kind after
/// the previous window has ended.
pub const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct KindState {
    window_start: Instant,
    lines: u32,
    suppressed: u64,
}

/// Rate limit that counts the suppressed lines of each kind.
#[derive(Debug, Default)]
pub struct DecisionLogLimit {
    kinds: Mutex<HashMap<&'static str, KindState>>,
}

impl DecisionLogLimit {
    /// Returns the number of lines of a kind suppressed since the last allowed one when another
    /// line is allowed, `None` when it is suppressed.
    pub fn allow(&self, kind: &'static str, now: Instant) -> Option<u64> {
        let mut kinds = self.kinds.lock();
        let new_state = || KindState { window_start: now, lines: 0, suppressed: 0 };
        let state = kinds.entry(kind).or_insert_with(new_state);
        if now >= state.window_start + WINDOW {
            state.window_start = now;
            state.lines = 0;
        }
        if state.lines >= LINES_PER_WINDOW {
            state.suppressed += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
