//! Judges from the callers' packets whether a target answers.
//!
//! Targets answer callers directly, so an instance sees one direction only: a caller whose opening
//! was answered sends its next packet within a round trip. An opening without one is the earliest
//! sign of a silent target; a health check then tells a silent target from a lost packet.

use std::time::Duration;

use tokio::time::Instant;

use crate::health_check::CheckOutcome;

/// Time after which an opening without a next packet counts as unanswered: several round trips
/// to a caller, and less than a caller's first copy takes.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a suspected target is avoided unless something new is learned.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest time between two health checks of a target that is down.
pub const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two health checks of a target that is down.
pub const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which another instance's word that a target is down is believed.
pub const HEARSAY: Duration = Duration::from_millis(1_500);
/// Signs of silence without progress in between from which a good health check is not believed.
pub const DISBELIEF: u32 = 4;

/// Failed health checks in a row after which a target is certainly down.
pub const CERTAIN_CHECKS: u32 = 2;

/// What is believed of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Answers as far as is known.
    #[default]
    Answering,
    /// Showed signs of silence; avoided until then.
    Suspected {
        /// End of the suspicion.
        until: Instant,
    },
    /// Failed its health check, or another instance says so.
    Down {
        /// Time up to which another instance's word holds; `None` when this instance checked.
        hearsay_until: Option<Instant>,
    },
}

/// What follows from a judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthTransition {
    /// Nothing changed.
    Unchanged,
    /// The target is down from now on.
    WentDown,
    /// Another instance's word that the target is down proved right.
    Confirmed,
    /// The target is back.
    Recovered,
}

/// Judgement of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    condition: Condition,
    signs: u32,
    failed_checks: u32,
    first_failed: Option<Instant>,
    witnessed: Option<Instant>,
    next_check: Option<Instant>,
    is_checking: bool,
}

impl TargetHealth {
    /// Returns what is believed of the target.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Tells whether the judgement stays as it is until something is learned.
    pub fn is_settled(&self) -> bool {
        self.condition == Condition::Answering && self.next_check.is_none() && !self.is_checking
    }

    /// Tells whether nothing speaks against the target.
    pub fn has_no_failures(&self) -> bool {
        self.is_settled() && self.signs == 0
    }

    /// Tells whether new flows may go to the target without need.
    pub fn is_healthy(&self, now: Instant) -> bool {
        match self.condition {
            Condition::Answering => true,
            Condition::Suspected { until } => now >= until,
            Condition::Down { .. } => false,
        }
    }

    /// Tells whether the target is known not to answer.
    pub fn is_down(&self) -> bool {
        matches!(self.condition, Condition::Down { .. })
    }

    /// Tells whether the target failed several checks of this instance's own in a row, and another
    /// instance says the same, so that the fault is not this instance's.
    pub fn is_confirmed_down(&self) -> bool {
        let is_witnessed = match (self.witnessed, self.first_failed) {
            (Some(witnessed), Some(failed)) => witnessed + HEARSAY >= failed,
            _ => false,
        };
        self.is_down() && self.failed_checks >= CERTAIN_CHECKS && is_witnessed
    }

    /// Has the target checked at once, when another instance says that it is down.
    pub fn verify_report(&mut self, now: Instant) {
        if matches!(self.condition, Condition::Down { hearsay_until: Some(_) }) {
            self.next_check.get_or_insert(now);
        }
    }

    /// Notes a packet that shows that the target answered a caller.
    pub fn record_progress(&mut self) -> HealthTransition {
        self.signs = 0;
        self.answer()
    }

    /// Notes a sign of silence, such as an opening without a next packet.
    pub fn record_failure(&mut self, now: Instant) {
        self.signs += 1;
        if self.is_down() {
            return;
        }
        self.condition = Condition::Suspected { until: now + SUSPICION_TIMEOUT };
        self.next_check.get_or_insert(now);
    }

    /// Returns whether a health check is due, and notes that it starts.
    pub fn start_due_check(&mut self, now: Instant) -> bool {
        let is_due = self.next_check.is_some_and(|at| now >= at);
        if !is_due || self.is_checking {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Takes the outcome of a health check.
    pub fn on_check(&mut self, outcome: CheckOutcome, now: Instant) -> HealthTransition {
        self.is_checking = false;
        self.next_check = None;
        match outcome {
            CheckOutcome::Healthy if self.signs >= DISBELIEF => {
                self.condition = Condition::Suspected { until: now + SUSPICION_TIMEOUT };
                HealthTransition::Unchanged
            }
            CheckOutcome::Healthy => self.answer(),
            CheckOutcome::Busy | CheckOutcome::Unwilling => {
                let finding = self.answer();
                self.condition = Condition::Suspected { until: now + SUSPICION_TIMEOUT };
                finding
            }
            CheckOutcome::Refused | CheckOutcome::Silent => self.fail(now),
        }
    }

    /// Takes another instance's word that the target is down.
    pub fn on_down_report(&mut self, now: Instant) -> HealthTransition {
        self.witnessed = Some(now);
        let hearsay_until = match self.condition {
            Condition::Down { hearsay_until: None } => return HealthTransition::Unchanged,
            _ => Some(now + HEARSAY),
        };
        let was_down = self.is_down();
        self.condition = Condition::Down { hearsay_until };
        self.next_check = None;
        if was_down {
            HealthTransition::Unchanged
        } else {
            HealthTransition::WentDown
        }
    }

    /// Takes another instance's word that the target answers.
    pub fn on_up_report(&mut self) -> HealthTransition {
        self.signs = 0;
        self.next_check = None;
        self.answer()
    }

    /// Checks by itself what another instance said and no longer says.
    pub fn expire_report(&mut self, now: Instant) {
        let Condition::Down { hearsay_until: Some(until) } = self.condition else { return };
        if now >= until {
            self.condition = Condition::Down { hearsay_until: None };
            self.next_check.get_or_insert(now);
        }
    }

    fn answer(&mut self) -> HealthTransition {
        let was_down = self.is_down();
        self.condition = Condition::Answering;
        self.failed_checks = 0;
        self.first_failed = None;
        self.witnessed = None;
        self.next_check = None;
        if was_down {
            HealthTransition::Recovered
        } else {
            HealthTransition::Unchanged
        }
    }

    fn fail(&mut self, now: Instant) -> HealthTransition {
        let previous = self.condition;
        self.failed_checks = self.failed_checks.saturating_add(1);
        self.first_failed.get_or_insert(now);
        self.condition = Condition::Down { hearsay_until: None };
        let doubtless = self.failed_checks.saturating_sub(CERTAIN_CHECKS - 1);
        let pause = MIN_CHECK_INTERVAL.saturating_mul(doubtless).min(MAX_CHECK_INTERVAL);
        self.next_check = Some(now + pause);
        match previous {
            Condition::Down { hearsay_until: None } => HealthTransition::Unchanged,
            Condition::Down { hearsay_until: Some(_) } => HealthTransition::Confirmed,
            _ => HealthTransition::WentDown,
        }
    }
}
