//! Log lines of the cookie packet forwarder: decisions on flows, and changes of the directory.

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::cookie_forwarder::CookieForwarder;
use crate::cookie_verdict::Decision;
use crate::decision_log::DecisionLogLimit;
use crate::directory::Directory;
use crate::ended_target::EndedTarget;
use crate::failing_targets::BreakerChange;
use crate::ids::{ServiceId, TargetId};
use crate::log_message::{
    BREAKER, DECISION, ENDED, OPENING, OUTAGES, OUTAGE_LOSSES, REGISTRATION, ROUTING, SPILLOVER,
    WEIGHT,
};
use crate::opening_admission::OpeningOutcome;
use crate::outage_losses::OutageLoss;
use crate::room::ServiceRoom;
use crate::route::Part;
use crate::segment::Segment;
use crate::target_table::RegistrationChange;
use crate::target_weight::WeightChange;

/// Change of a spill share from which it is logged.
const LOGGED_SPILL_STEP: f64 = 0.1;

const MICROS_PER_MILLI: i64 = 1_000;

/// Writes log lines within the rate limit of their kind.
#[derive(Debug, Default)]
pub struct FlowLog {
    limit: DecisionLogLimit,
    /// Spill share of each service when it was last logged.
    spill_shares: Mutex<HashMap<ServiceId, f64>>,
    opening_limit: DecisionLogLimit,
}

impl FlowLog {
    /// Logs a decision on a flow with the state that it was based on.
    pub fn log_decision(
        &self,
        decision: Decision,
        segment: &Segment,
        forwarder: &CookieForwarder,
        now: Instant,
    ) {
        let Decision { outcome, reason } = decision;
        let Some(left_out) = self.limit.allow(reason, now) else { return };
        let chosen = match forwarder.watch().half_open(&segment.ends) {
            Some(opening) if segment.control.opens => Some(opening.target),
            _ => forwarder.targets().index_by_cookie(segment.cookie),
        };
        let entry = chosen.map(|index| forwarder.targets().get(index));
        let target = entry.map_or("-", |entry| entry.registration.target.as_str());
        let condition = entry.map(|entry| entry.health().condition());
        // The acknowledgement number of an opening segment counts its earlier transmissions, so it
        // distinguishes a retransmitted copy from the first one.
        let copy = if segment.control.opens { segment.ack } else { 0 };
        log::info!(
            caller:% = segment.ends.caller, service:% = segment.ends.service, outcome, reason,
            target, condition:? = condition, copy, cookie = segment.cookie, seq = segment.seq,
            routing_version = forwarder.routes().version(),
            routing_age_ms = forwarder.routing_age(now).map_or(-1, |age| age.as_millis() as i64),
            left_out;
            "{DECISION}"
        );
    }

    /// Logs the targets that have ended while callers waited for them.
    pub fn log_ended(&self, ended: &[EndedTarget], now: Instant) {
        for EndedTarget { target, cause, resets, kept } in ended {
            let cause = cause.label();
            let Some(left_out) = self.limit.allow("ended", now) else { continue };
            log::info!(target = target.as_str(), cause, resets, kept, left_out; "{ENDED}");
        }
    }

    /// Logs the packets that were dropped because of data centres out of service.
    pub fn log_outage_losses(&self, losses: &[OutageLoss], now: Instant) {
        for OutageLoss { data_centre, service, packets, flows } in losses {
            let Some(left_out) = self.limit.allow("outage_losses", now) else { continue };
            log::info!(
                data_centre = data_centre.as_str(), service = service.as_str(), packets, flows,
                left_out;
                "{OUTAGE_LOSSES}"
            );
        }
    }

    /// Logs the outcome of an opening with the inputs of the decision. A figure that is missing is
    /// logged as -1.
    pub fn log_opening(&self, outcome: &OpeningOutcome, now: Instant) {
        let Some(left_out) = self.opening_limit.allow(outcome.outcome, now) else { return };
        let (opening, room) = (&outcome.opening, outcome.room.as_ref());
        let demand = room.and_then(ServiceRoom::demand);
        let whole = |figure: Option<f64>| figure.map_or(-1, |figure| figure as i64);
        log::info!(
            caller:% = opening.ends.caller, service:% = opening.ends.service,
            outcome = outcome.outcome, precedence = opening.precedence,
            waited_ms = outcome.waited.as_millis() as u64,
            slack_ms = outcome.slack_micros / MICROS_PER_MILLI,
            work_ms = opening.work.as_millis() as u64,
            capacity = whole(room.and_then(ServiceRoom::capacity_per_second)),
            demand = whole(demand.map(|demand| demand.requests_per_second)),
            turned_away = whole(demand.map(|demand| demand.turned_away_per_second)),
            own_share_per_mille = whole(room.and_then(|room| room.own_share).map(|it| it * 1e3)),
            left_out;
            "{OPENING}"
        );
    }

    /// Logs the change of a part of the directory after the forwarder has applied it.
    pub fn log_directory_update(
        &self,
        part: Part,
        directory: &Directory,
        forwarder: &CookieForwarder,
        registrations: &[(TargetId, RegistrationChange)],
        now: Instant,
    ) {
        match part {
            Part::Routing => {
                let (version, routes) = (forwarder.routes().version(), forwarder.routes().len());
                log::info!(version, routes; "{ROUTING}");
            }
            Part::Targets => self.log_registrations(registrations, now),
            Part::Outages => {
                let out: Vec<_> = directory.records(part).map(|(name, _)| name.as_str()).collect();
                log::info!(out = SmolStr::new(out.join(",")).as_str(); "{OUTAGES}");
            }
        }
    }

    /// Logs a change of a target's weight with the counts that it was based on.
    pub fn log_weight_change(
        &self,
        change: &WeightChange,
        forwarder: &CookieForwarder,
        now: Instant,
    ) {
        let Some(left_out) = self.limit.allow("weight", now) else { return };
        let target = &forwarder.targets().get(change.target).registration.target;
        log::info!(
            target = target.as_str(), from = change.from.per_mille(), to = change.to.per_mille(),
            answers = change.sums.answers, outliers = change.sums.outliers,
            reporters = change.reporters, usual_share = change.usual_share, left_out;
            "{WEIGHT}"
        );
    }

    /// Logs a change of a target's circuit breaker with what it was based on.
    pub fn log_breaker_change(
        &self,
        change: &BreakerChange,
        forwarder: &CookieForwarder,
        now: Instant,
    ) {
        let Some(left_out) = self.limit.allow("breaker", now) else { return };
        let target = &forwarder.targets().get(change.target).registration.target;
        let stalls = change.stalls.map_or(0, |count| count.stalls);
        let reporters = change.stalls.map_or(0, |count| count.reporters);
        log::info!(
            target = target.as_str(), from = change.from.label(), to = change.to.label(),
            trips = change.trips, stalls, reporters, left_out;
            "{BREAKER}"
        );
    }

    /// Logs the spill shares that have changed noticeably or have come back to zero.
    pub fn log_spillovers(&self, forwarder: &CookieForwarder, now: Instant) {
        let mut logged = self.spill_shares.lock();
        for (service, spillover) in forwarder.spillovers() {
            let share = spillover.share();
            let last = logged.get(service).copied().unwrap_or_default();
            let is_over = share == 0.0 && last > 0.0;
            if !is_over && (share - last).abs() < LOGGED_SPILL_STEP {
                continue;
            }
            let Some(left_out) = self.limit.allow("spillover", now) else { continue };
            logged.insert(service.clone(), share);
            let parts: Vec<_> =
                spillover.shares().map(|(name, share)| format!("{name}={share:.2}")).collect();
            log::info!(
                service = service.as_str(), share:% = format_args!("{share:.2}"), to = parts.join(",").as_str(), left_out;
                "{SPILLOVER}"
            );
        }
    }

    fn log_registrations(&self, changes: &[(TargetId, RegistrationChange)], now: Instant) {
        for (target, change) in changes {
            let Some(left_out) = self.limit.allow(change.label(), now) else { continue };
            log::info!(
                target = target.as_str(), change = change.label(), left_out;
                "{REGISTRATION}"
            );
        }
    }
}
