//! Circuit breaker of a target: how much of its traffic a target gets back after its requests failed.
//!
//! Load pattern: a target fails at once what it gets, all of it or a part, for some seconds or by
//! turns, while its health checks pass. Since it has nothing running, it looks like the least loaded
//! target. So a target that failed gets no new flows for a while, then a few that callers can repeat,
//! then all of these, and last the others. Each further failure doubles the times and the number of
//! successes that are asked for, until the target has worked for long.

use std::time::Duration;

use tokio::time::Instant;

/// Time without new flows after the first failure. Doubles with each further failure.
pub const OPEN_TIME: Duration = Duration::from_millis(500);
/// Number of successful requests after the first failure that end the trial. Doubles like
/// [`OPEN_TIME`], up to [`MAX_SUCCESS_GROWTH`] times as many.
pub const TRIAL_SUCCESSES: u32 = 2;
/// Largest factor on [`TRIAL_SUCCESSES`]. Of more requests of a target that works, one may stall by
/// chance.
pub const MAX_SUCCESS_GROWTH: u32 = 4;
/// Time after which a trial without a failure ends even if too few requests were made.
pub const MAX_TRIAL_TIME: Duration = Duration::from_secs(5);
/// Time on probation after the first failure. Doubles like [`OPEN_TIME`].
pub const PROBATION_TIME: Duration = Duration::from_secs(2);
/// Number of failures from which the times no longer grow.
pub const MAX_TRIPS: u32 = 4;
/// Time without a failure after which former failures are forgotten.
pub const TRIP_RETENTION: Duration = Duration::from_secs(30);

copy_type! {
    /// State of a target's circuit breaker.
    #[derive(Default)]
    pub enum BreakerState {
        /// The target gets its share of the new flows.
        #[default]
        Closed,
        /// The target gets new flows only of routes whose requests can be repeated.
        Probation,
        /// The target gets a few new flows of these routes, from one instance.
        HalfOpen,
        /// The target gets no new flows.
        Open,
    }
}

impl BreakerState {
    /// Returns the name of the state in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Probation => "probation",
            Self::HalfOpen => "half_open",
            Self::Open => "open",
        }
    }

    /// Returns whether the target gets new flows. The flows of a trial are admitted separately.
    pub fn admits(self, is_repeatable: bool) -> bool {
        match self {
            Self::Closed => true,
            Self::Probation => is_repeatable,
            Self::HalfOpen | Self::Open => false,
        }
    }
}

/// Circuit breaker of one target.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    entered_at: Instant,
    /// Number of failures that are not forgotten, up to [`MAX_TRIPS`].
    trips: u32,
    successes: u32,
    /// Stalled requests of the last failure that have not been answered since.
    unanswered: u32,
}

impl CircuitBreaker {
    /// Creates the breaker of a target that has not failed.
    pub fn new(now: Instant) -> Self {
        Self { state: BreakerState::Closed, entered_at: now, trips: 0, successes: 0, unanswered: 0 }
    }

    /// Returns the state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns the number of failures that are not forgotten.
    pub fn trips(&self) -> u32 {
        self.trips
    }

    /// Returns whether the target works and has no failure that is remembered.
    pub fn is_forgotten(&self, now: Instant) -> bool {
        self.state == BreakerState::Closed && now >= self.entered_at + TRIP_RETENTION
    }

    /// Records that the target fails, as a number of stalled requests shows.
    pub fn trip(&mut self, stalls: u32, now: Instant) {
        if self.is_forgotten(now) {
            self.trips = 0;
        }
        self.trips = (self.trips + 1).min(MAX_TRIPS);
        self.unanswered = stalls;
        self.enter(BreakerState::Open, now);
    }

    /// Records requests that were answered, that stalled, and that were answered after they had
    /// stalled. Stalls count while the target is on trial; at other times the caller decides whether it
    /// fails. If all requests that showed a failure are answered after all, the target was only slow,
    /// and is tried out at once.
    pub fn on_outcomes(&mut self, answered: u32, stalled: u32, late: u32, now: Instant) {
        match self.state {
            BreakerState::HalfOpen if stalled > late => self.trip(stalled - late, now),
            BreakerState::Open if late > 0 => {
                self.unanswered = self.unanswered.saturating_sub(late);
                if self.unanswered == 0 {
                    self.trips = self.trips.saturating_sub(1);
                    self.enter(BreakerState::HalfOpen, now);
                }
            }
            BreakerState::HalfOpen => {
                self.successes = self.successes.saturating_add(answered);
                if self.successes >= TRIAL_SUCCESSES * self.growth().min(MAX_SUCCESS_GROWTH) {
                    self.enter(BreakerState::Probation, now);
                }
            }
            BreakerState::Closed | BreakerState::Probation | BreakerState::Open => {}
        }
    }

    /// Changes the state whose time has passed.
    pub fn tick(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.entered_at);
        match self.state {
            BreakerState::Open if time >= OPEN_TIME * self.growth() => {
                self.enter(BreakerState::HalfOpen, now);
            }
            BreakerState::HalfOpen if time >= MAX_TRIAL_TIME => {
                self.enter(BreakerState::Probation, now);
            }
            BreakerState::Probation if time >= PROBATION_TIME * self.growth() => {
                self.enter(BreakerState::Closed, now);
            }
            _ => {}
        }
    }

    /// Returns the factor by which times and numbers have grown with the failures.
    fn growth(&self) -> u32 {
        1 << self.trips.saturating_sub(1)
    }

    fn enter(&mut self, state: BreakerState, now: Instant) {
        self.state = state;
        self.entered_at = now;
        self.successes = 0;
    }
}
