//! Counts the outcomes of requests in the audit ledger, at the instance that runs or refuses them.
//! An instance that forwards a request to another one counts nothing.

use std::net::{IpAddr, Ipv4Addr};

use crate::admission::RefusalReason;
use crate::audit::{AuditEvent, AuditKey, AuditLedger};
use crate::ids::TargetId;
use crate::problem::{Outcome, Problem};
use crate::request_route::RequestContext;

/// Counts a request that a target ran and answered.
pub fn record_answer(ledger: &AuditLedger, cx: &RequestContext, target: &TargetId) {
    record(ledger, cx, Some(target), "answered", AuditEvent::Run);
}

/// Counts a request that was refused before it was sent to a target.
pub fn record_refusal(ledger: &AuditLedger, cx: &RequestContext, reason: RefusalReason) {
    let event = match reason {
        RefusalReason::Shed => AuditEvent::Shed,
        RefusalReason::Full | RefusalReason::TooLate | RefusalReason::Leaving => AuditEvent::NotRun,
    };
    record(ledger, cx, None, reason.label(), event);
}

/// Counts a request that ended with a problem. `target` is the last target that it was sent to.
///
/// A retry whose first request is still running or was answered has itself not run.
pub fn record_problem(
    ledger: &AuditLedger,
    cx: &RequestContext,
    target: Option<&TargetId>,
    problem: &Problem,
) {
    let event = match problem.outcome {
        Outcome::Unknown => AuditEvent::Unknown,
        Outcome::NotRun | Outcome::Running | Outcome::Answered => AuditEvent::NotRun,
    };
    record(ledger, cx, target, problem.outcome.name(), event);
}

fn record(
    ledger: &AuditLedger,
    cx: &RequestContext,
    target: Option<&TargetId>,
    reason: &'static str,
    event: AuditEvent,
) {
    // A caller whose address cannot be read still counts, under the unspecified address.
    let caller = cx.caller.parse().unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let (service, target) = (cx.service.service.clone(), target.cloned());
    ledger.count(&AuditKey { caller, service, target, reason }, event);
}
