//! Health of a target, from passive observation of its flows, active health checks, and the reports
//! of other instances.
//!
//! Targets answer callers directly, so an instance sees only the packets from callers. A caller
//! whose opening packet was answered sends its next packet within a round trip, so a missing next
//! packet is the earliest sign of an unresponsive target. A health check then distinguishes an
//! unresponsive target from a lost packet.

use std::time::Duration;

use tokio::time::Instant;

use crate::health_check::CheckOutcome;

/// Time after which a half-open flow counts as unanswered: several round trips to a caller, and
/// less than the time until a caller first retransmits its opening packet.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a suspected target is avoided after its last observed failure.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// Step of the linear backoff between health checks of a target that is down. The first failed
/// check is repeated without delay.
pub const CHECK_BACKOFF_STEP: Duration = Duration::from_millis(200);
/// Upper limit of the backoff between health checks of a target that is down.
pub const MAX_CHECK_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which another instance's report that a target is down stays valid.
pub const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Number of observed failures without progress in between that outweigh a passed health check, so
/// that the target stays suspected.
pub const CHECK_OVERRIDE_FAILURES: u32 = 4;

/// Number of consecutive failed health checks that confirm that a target is down.
pub const CONFIRM_DOWN_CHECKS: u32 = 2;

/// Condition of a target, as this instance assumes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Answers, or has shown no failure yet.
    #[default]
    Answering,
    /// Failed to answer a caller recently, or responded to its health check late or with an error;
    /// gets new flows only when no healthy target is available.
    Suspected {
        /// End of the suspicion, unless another failure extends it.
        until: Instant,
    },
    /// Failed its health check, or was reported down by another instance.
    Down {
        /// Time at which another instance's report expires; `None` when this instance's own health
        /// check failed or the report has expired. The name is part of the log format.
        hearsay_until: Option<Instant>,
    },
}

/// Change of a target's condition that an event caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthTransition {
    /// No change to report to other instances.
    Unchanged,
    /// The target was up and is now down.
    WentDown,
    /// This instance's own check confirmed another instance's report that the target is down.
    Confirmed,
    /// The target was down and is now up.
    Recovered,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    condition: Condition,
    observed_failures: u32,
    failed_checks: u32,
    first_failed_at: Option<Instant>,
    reported_at: Option<Instant>,
    next_check_at: Option<Instant>,
    is_checking: bool,
    /// Number of consecutive checks, up to the last one, whose connection was refused.
    refused_checks: u32,
    /// Time of the first of these checks.
    refused_since: Option<Instant>,
    /// Time at which an instance that is not cut off from the target together with this one last
    /// reported that its own checks were refused.
    witnessed_at: Option<Instant>,
    /// Whether the outcome of the scheduled check of a report is for this instance only.
    is_unannounced: bool,
}

impl TargetHealth {
    /// Returns the assumed condition of the target.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Returns whether the target is assumed to answer and no health check is scheduled or running,
    /// so that the passage of time alone changes nothing.
    pub fn is_settled(&self) -> bool {
        self.condition == Condition::Answering && self.next_check_at.is_none() && !self.is_checking
    }

    /// Returns whether the target is settled and has no observed failure since its last progress.
    pub fn has_no_failures(&self) -> bool {
        self.is_settled() && self.observed_failures == 0
    }

    /// Returns whether the target is neither down nor under suspicion at `now`.
    pub fn is_healthy(&self, now: Instant) -> bool {
        match self.condition {
            Condition::Answering => true,
            Condition::Suspected { until } => now >= until,
            Condition::Down { .. } => false,
        }
    }

    /// Returns whether the target failed its health check or was reported down.
    pub fn is_down(&self) -> bool {
        matches!(self.condition, Condition::Down { .. })
    }

    /// Returns whether [`CONFIRM_DOWN_CHECKS`] consecutive checks by this instance failed and
    /// another instance reported the target down too, which rules out a fault of this instance's
    /// own.
    pub fn is_confirmed_down(&self) -> bool {
        let is_reported = match (self.reported_at, self.first_failed_at) {
            (Some(reported_at), Some(failed_at)) => reported_at + REPORT_VALIDITY >= failed_at,
            _ => false,
        };
        self.is_down() && self.failed_checks >= CONFIRM_DOWN_CHECKS && is_reported
    }

    /// Returns the time since which the target's host refuses connections to it; `None` unless that
    /// is certain. It is certain once [`CONFIRM_DOWN_CHECKS`] consecutive checks by this instance
    /// were refused, no caller has shown progress since, and a witness had its checks refused too
    /// (see [`Self::witness_refusal`]).
    pub fn refused_since(&self) -> Option<Instant> {
        let refused_since = self.refused_since?;
        let is_witnessed =
            self.witnessed_at.is_some_and(|at| at + REPORT_VALIDITY >= refused_since);
        let is_refused = self.refused_checks >= CONFIRM_DOWN_CHECKS;
        (is_refused && is_witnessed && self.is_confirmed_down()).then_some(refused_since)
    }

    /// Returns whether the last check was the one that completed [`CONFIRM_DOWN_CHECKS`] consecutive
    /// refused checks, which this instance reports to others if it announces its findings.
    pub fn is_refusal_to_announce(&self) -> bool {
        self.refused_checks == CONFIRM_DOWN_CHECKS && !self.is_unannounced
    }

    /// Records that an instance which is not cut off from the target together with this one had its
    /// checks refused.
    pub fn witness_refusal(&mut self, now: Instant) {
        self.witnessed_at = Some(now);
    }

    /// Schedules an immediate health check, unless the target is down or a check is scheduled.
    pub fn request_check(&mut self, now: Instant) {
        if !self.is_down() {
            self.next_check_at.get_or_insert(now);
        }
    }

    /// Returns the number of health checks that have failed since the last one that passed.
    pub fn failed_checks(&self) -> u32 {
        self.failed_checks
    }

    /// Schedules an immediate health check if the target is down only by another instance's report.
    pub fn verify_report(&mut self, now: Instant) {
        if matches!(self.condition, Condition::Down { hearsay_until: Some(_) }) {
            self.next_check_at.get_or_insert(now);
            self.is_unannounced = false;
        }
    }

    /// Schedules an immediate health check like [`Self::verify_report`], whose outcome is for this
    /// instance only. Many instances may do so for one report, and must not all report to all.
    pub fn verify_report_unannounced(&mut self, now: Instant) {
        let is_reported = matches!(self.condition, Condition::Down { hearsay_until: Some(_) });
        if is_reported && self.next_check_at.is_none() && !self.is_checking {
            self.next_check_at = Some(now);
            self.is_unannounced = true;
        }
    }

    /// Records a packet which shows that the target answered a caller.
    pub fn record_progress(&mut self) -> HealthTransition {
        self.observed_failures = 0;
        self.mark_up()
    }

    /// Records an observed failure, for example a flow in which no packet followed the opening
    /// packet. Unless the target is down already, it becomes suspected, and a health check is
    /// scheduled.
    pub fn record_failure(&mut self, now: Instant) {
        self.observed_failures += 1;
        if self.is_down() {
            return;
        }
        self.condition = Condition::Suspected { until: now + SUSPICION_TIMEOUT };
        self.next_check_at.get_or_insert(now);
    }

    /// Marks a due health check as running. Returns `false` if none is due or one is running
    /// already.
    pub fn start_due_check(&mut self, now: Instant) -> bool {
        let is_due = self.next_check_at.is_some_and(|at| now >= at);
        if !is_due || self.is_checking {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Applies the outcome of a health check.
    pub fn on_check(&mut self, outcome: CheckOutcome, now: Instant) -> HealthTransition {
        self.is_checking = false;
        self.next_check_at = None;
        match outcome {
            CheckOutcome::Healthy if self.observed_failures < CHECK_OVERRIDE_FAILURES => {
                self.mark_up()
            }
            CheckOutcome::Healthy | CheckOutcome::Busy | CheckOutcome::Unwilling => {
                let transition = self.mark_up();
                self.condition = Condition::Suspected { until: now + SUSPICION_TIMEOUT };
                transition
            }
            CheckOutcome::Refused => {
                self.refused_checks = self.refused_checks.saturating_add(1);
                self.refused_since.get_or_insert(now);
                self.mark_down(now)
            }
            CheckOutcome::Aborted | CheckOutcome::Silent => {
                self.forget_refusals();
                self.mark_down(now)
            }
        }
    }

    /// Applies another instance's report that the target is down. It does not override a failed
    /// check by this instance.
    pub fn on_down_report(&mut self, now: Instant) -> HealthTransition {
        self.reported_at = Some(now);
        let hearsay_until = match self.condition {
            Condition::Down { hearsay_until: None } => return HealthTransition::Unchanged,
            _ => Some(now + REPORT_VALIDITY),
        };
        let was_down = self.is_down();
        self.condition = Condition::Down { hearsay_until };
        self.next_check_at = None;
        if was_down {
            HealthTransition::Unchanged
        } else {
            HealthTransition::WentDown
        }
    }

    /// Records that another instance found the target down too. Changes nothing unless a health
    /// check of this instance failed.
    pub fn confirm_own_finding(&mut self, now: Instant) {
        if self.condition == (Condition::Down { hearsay_until: None }) {
            self.reported_at = Some(now);
        }
    }

    /// Applies another instance's report that the target answers.
    pub fn on_up_report(&mut self) -> HealthTransition {
        self.observed_failures = 0;
        self.next_check_at = None;
        self.mark_up()
    }

    /// Schedules a health check by this instance once another instance's report has expired. The
    /// target stays down until that check.
    pub fn expire_report(&mut self, now: Instant) {
        let Condition::Down { hearsay_until: Some(until) } = self.condition else { return };
        if now >= until {
            self.condition = Condition::Down { hearsay_until: None };
            self.next_check_at.get_or_insert(now);
        }
    }

    fn mark_up(&mut self) -> HealthTransition {
        let was_down = self.is_down();
        self.condition = Condition::Answering;
        self.failed_checks = 0;
        self.first_failed_at = None;
        self.reported_at = None;
        self.witnessed_at = None;
        self.next_check_at = None;
        self.is_unannounced = false;
        self.forget_refusals();
        if was_down {
            HealthTransition::Recovered
        } else {
            HealthTransition::Unchanged
        }
    }

    fn forget_refusals(&mut self) {
        self.refused_checks = 0;
        self.refused_since = None;
    }

    fn mark_down(&mut self, now: Instant) -> HealthTransition {
        let previous = self.condition;
        self.failed_checks = self.failed_checks.saturating_add(1);
        self.first_failed_at.get_or_insert(now);
        self.condition = Condition::Down { hearsay_until: None };
        let backoff_steps = self.failed_checks.saturating_sub(CONFIRM_DOWN_CHECKS - 1);
        let backoff = CHECK_BACKOFF_STEP.saturating_mul(backoff_steps).min(MAX_CHECK_BACKOFF);
        self.next_check_at = Some(now + backoff);
        match previous {
            Condition::Down { hearsay_until: None } => HealthTransition::Unchanged,
            Condition::Down { .. } if self.is_unannounced => HealthTransition::Unchanged,
            Condition::Down { hearsay_until: Some(_) } => HealthTransition::Confirmed,
            _ => HealthTransition::WentDown,
        }
    }
}
