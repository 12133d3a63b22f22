//! Log lines of an instance with cookies: decisions on flows, and changes of what it knows.

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::cookie_forwarder::{CookieForwarder, Decision};
use crate::decision_log::DecisionLog;
use crate::directory::Directory;
use crate::ids::TargetId;
use crate::log_message::{DECISION, OUTAGES, REGISTRATION, ROUTING};
use crate::route::Part;
use crate::segment::Segment;
use crate::target_table::RegistrationChange;

/// Writes log lines within the bound of their kind.
#[derive(Debug, Default)]
pub struct FlowLog {
    bound: DecisionLog,
}

impl FlowLog {
    /// Logs a decision on a flow with what decided it.
    pub fn decision(
        &self,
        decision: Decision,
        segment: &Segment,
        forwarder: &CookieForwarder,
        now: Instant,
    ) {
        let Decision { outcome, reason } = decision;
        let Some(left_out) = self.bound.pass(reason, now) else { return };
        let chosen = match forwarder.watch().opening(&segment.ends).and_then(|it| it.tried.last()) {
            Some(index) if segment.control.opens => Some(*index),
            _ => forwarder.targets().named_by(segment.cookie),
        };
        let entry = chosen.map(|index| forwarder.targets().get(index));
        let target = entry.map_or("-", |entry| entry.registration.target.as_str());
        let condition = entry.map(|entry| entry.silence().condition());
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

    /// Logs what changed with a part of the directory that the door has taken.
    pub fn applied(
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
            Part::Targets => self.registrations(registrations, now),
            Part::Outages => {
                let out: Vec<_> = directory.records(part).map(|(name, _)| name.as_str()).collect();
                log::info!(out = SmolStr::new(out.join(",")).as_str(); "{OUTAGES}");
            }
        }
    }

    fn registrations(&self, changes: &[(TargetId, RegistrationChange)], now: Instant) {
        for (target, change) in changes {
            let Some(left_out) = self.bound.pass(change.label(), now) else { continue };
            log::info!(
                target = target.as_str(), change = change.label(), left_out;
                "{REGISTRATION}"
            );
        }
    }
}
