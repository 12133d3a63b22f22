//! Counts the decisions of the packet forwarder in the audit ledger.

use std::net::SocketAddr;

use crate::audit::{AuditEvent, AuditKey, AuditLedger};
use crate::ids::TargetId;
use crate::packet::PacketInfo;
use crate::plan::{Plan, ServicePlan};
use crate::verdict::Verdict;

/// Counts the decision on a packet of a caller. Packets whose destination is no known service and
/// replies of targets are not counted.
pub fn record_packet(ledger: &AuditLedger, plan: &Plan, info: &PacketInfo, verdict: &Verdict) {
    let Some(service) = plan.service_at(info.key.protocol, info.key.service) else { return };
    let (event, target, reason) = match verdict {
        Verdict::Deliver { to } | Verdict::Keep { to, .. } => {
            (AuditEvent::Delivered, target_at(service, *to), "delivered")
        }
        Verdict::Relay { .. } => (AuditEvent::Relayed, None, "relayed"),
        Verdict::Reset { .. } => (AuditEvent::GivenUp, None, "reset"),
        Verdict::Drop(reason) => (AuditEvent::Dropped, None, reason.label()),
        Verdict::Egress => return,
    };
    let key =
        AuditKey { caller: info.key.caller.ip(), service: service.service.clone(), target, reason };
    if info.control.opens && event == AuditEvent::Delivered {
        ledger.count(&key, AuditEvent::Opened);
    }
    ledger.count(&key, event);
}

fn target_at(service: &ServicePlan, tunnel: SocketAddr) -> Option<TargetId> {
    let target = service.local_targets.iter().find(|target| target.tunnel() == tunnel);
    target.map(|target| target.id().clone())
}
