//! Verdicts of the packet forwarder for packets that carry their target's cookie, with the reasons
//! that logs and metrics show.

use std::net::SocketAddr;

use crate::ids::{Cookie, TargetToken};

/// Reason why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The cookie belongs to no known target.
    UnknownCookie,
    /// The cookie belongs to a target of a service that the route has never used.
    ForeignCookie,
    /// The packet belongs to an open flow but carries no cookie.
    NoCookie,
    /// No route is known for the address, but the routing may be out of date.
    RouteInDoubt,
    /// The data centre of the flow's target is out of service.
    Outage,
}

impl DropReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::UnknownCookie => "unknown_cookie",
            DropReason::ForeignCookie => "foreign_cookie",
            DropReason::NoCookie => "no_cookie",
            DropReason::RouteInDoubt => "route_in_doubt",
            DropReason::Outage => "outage",
        }
    }
}

/// Reason why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route exists for the address.
    NoRoute,
    /// The flow's route was removed.
    RouteRemoved,
    /// No target of the service can accept the flow.
    NoTarget,
    /// The flow's target is confirmed down, and the route's requests are idempotent, so that the
    /// caller can repeat them at another target.
    TargetDown,
    /// The flow's target has ended, since its address belongs to a target that started later. No
    /// request of the flow can be answered any more.
    TargetEnded,
    /// The flow's caller waits for a target that has ended for certain (see
    /// [`crate::ended_target`]), and can repeat the request at another target.
    WaitingForEnded,
    /// The service has no room within the time for which an opening can wait.
    NoRoom,
    /// The service has no room, and the request can't be answered before its timeout.
    NoTime,
}

impl ResetReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no_route",
            ResetReason::RouteRemoved => "route_removed",
            ResetReason::NoTarget => "no_target",
            ResetReason::TargetDown => "target_down",
            ResetReason::TargetEnded => "target_ended",
            ResetReason::WaitingForEnded => "waiting_for_ended",
            ResetReason::NoRoom => "no_room",
            ResetReason::NoTime => "no_time",
        }
    }
}

/// Verdict on a packet: the forwarder sends it to a target, holds it, resets its flow or drops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CookieVerdict {
    /// The packet is sent to a target.
    Forward {
        /// Address of the target.
        to: SocketAddr,
        /// Token by which the target recognises the packets that are addressed to it.
        token: TargetToken,
        /// Cookie of the target, to be written into the packet.
        cookie: Cookie,
        /// Whether the packet opens a flow.
        opens: bool,
    },
    /// The packet waits at this instance until the service has room.
    Hold,
    /// The flow is reset at its caller.
    Reset(ResetReason),
    /// The packet is discarded without a response.
    Drop(DropReason),
}

impl CookieVerdict {
    /// Returns the decision on the flow, for the logs; `None` for a packet of an open flow that is
    /// forwarded to the flow's target.
    pub fn decision(&self) -> Option<Decision> {
        let (outcome, reason) = match self {
            Self::Forward { opens: false, .. } => return None,
            Self::Forward { opens: true, .. } => ("placed", "opened"),
            Self::Hold => ("held", "scarce_room"),
            Self::Reset(reason) => ("reset", reason.label()),
            Self::Drop(reason) => ("dropped", reason.label()),
        };
        Some(Decision { outcome, reason })
    }
}

/// Decision on a flow, in the labels that logs and metrics use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Outcome for the flow: `placed`, `held`, `reset` or `dropped`.
    pub outcome: &'static str,
    /// Reason for the outcome: `opened`, `scarce_room`, or the label of a [`ResetReason`] or
    /// [`DropReason`].
    pub reason: &'static str,
}
