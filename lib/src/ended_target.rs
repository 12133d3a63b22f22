//! Decides whether a target has ended for certain, so that no request which it has can be answered.
//!
//! Load pattern: a target ends while callers that have sent everything wait for it. Their flows may
//! be reset only if the target has ended. A target that hangs, does not respond to its checks, passes
//! them falsely, is cut off, or whose registration lapsed while the store was unavailable may still
//! answer, so none of these is an end.

use std::time::Duration;

use tokio::time::Instant;

use crate::ids::TargetId;
use crate::route::RegistrationState;
use crate::target_table::TargetEntry;

/// Time before the start of a target's new run within which a flow may belong to the new run already.
/// The start is the earlier of what the target registers and of the time at which the store last
/// confirmed the former run, so that neither a wrong clock nor a registration that arrives late alone
/// ends a flow of the new run.
pub const RESTART_DOUBT: Duration = Duration::from_secs(2);

/// How it is known that a target has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Its address belongs to a target that started later.
    AddressReassigned,
    /// It started again under the same name, after the flow was opened.
    Restarted,
    /// Its host refuses connections to it, according to this instance and to a second one, and its
    /// registration is gone.
    Unregistered,
    /// Its host refuses connections to it, according to this instance and to a second one.
    ConnectionRefused,
}

impl EndCause {
    /// Returns the name of the cause in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::AddressReassigned => "address_reassigned",
            Self::Restarted => "restarted",
            Self::Unregistered => "unregistered",
            Self::ConnectionRefused => "connection_refused",
        }
    }
}

/// Target that has ended while flows waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTarget {
    /// Target that has ended.
    pub target: TargetId,
    /// How it is known.
    pub cause: EndCause,
    /// Number of waiting flows that are to be reset.
    pub resets: usize,
    /// Number of waiting flows that are left alone, since their callers cannot repeat the request.
    pub kept: usize,
}

/// Returns why a target can no longer answer a flow that was open at `opened_at`, or `None` unless
/// that is certain.
pub fn end_cause(target: &TargetEntry, opened_at: Instant) -> Option<EndCause> {
    if target.has_ended {
        return Some(EndCause::AddressReassigned);
    }
    if target.restarted_after.is_some_and(|restarted_after| opened_at < restarted_after) {
        return Some(EndCause::Restarted);
    }
    let refused_since = target.health().refused_since()?;
    if opened_at >= refused_since {
        return None;
    }
    match target.registration.state {
        RegistrationState::Gone => Some(EndCause::Unregistered),
        RegistrationState::Ready | RegistrationState::Draining => Some(EndCause::ConnectionRefused),
    }
}
