//! Log lines of the cookie packet forwarder: decisions on flows, and changes of the directory.

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::cookie_forwarder::CookieForwarder;
use crate::cookie_verdict::Decision;
use crate::decision_log::DecisionLogLimit;
use crate::directory::Directory;
use crate::ended_target::EndedTarget;
use crate::ids::TargetId;
use crate::log_message::{DECISION, ENDED, OUTAGES, OUTAGE_LOSSES, REGISTRATION, ROUTING};
use crate::outage_losses::OutageLoss;
use crate::route::Part;
use crate::segment::Segment;
use crate::target_table::RegistrationChange;

/// Writes log lines within the rate limit of their kind.
#[derive(Debug, Default)]
pub struct FlowLog {
    limit: DecisionLogLimit,
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
