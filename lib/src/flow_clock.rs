//! Time in ticks, so that the state of a flow stores a time in four bytes.

use std::time::Duration;

use tokio::time::Instant;

const TICK_MS: u32 = 10;
const TICKS_PER_SECOND: u64 = 100;

/// Counts time in ticks of 10 ms, so that a binding stores a time in four bytes.
#[derive(Clone, Copy, Debug)]
pub struct FlowClock {
    origin: Instant,
}

impl FlowClock {
    /// Creates a clock that counts from `origin`.
    pub fn new(origin: Instant) -> Self {
        Self { origin }
    }

    /// Returns the instant at tick 0.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// Returns the ticks from the origin to `at`; 0 for instants before the origin.
    pub fn ticks(&self, at: Instant) -> u32 {
        ticks_of(at.saturating_duration_since(self.origin))
    }
}

/// Returns a duration in whole ticks, limited to [`u32::MAX`].
pub fn ticks_of(time: Duration) -> u32 {
    let ticks = time.as_secs() * TICKS_PER_SECOND + u64::from(time.subsec_millis() / TICK_MS);
    u32::try_from(ticks).unwrap_or(u32::MAX)
}
