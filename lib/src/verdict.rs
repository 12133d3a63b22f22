//! Decisions of the packet forwarder on single packets.

use std::net::SocketAddr;

use crate::flow_messages::Step;
use crate::ids::FlowHash;

copy_type! {
    /// Reason why a packet goes nowhere.
    pub enum DropReason {
        /// No service has the packet's destination.
        NoService,
        /// No data centre of the service can take it.
        NoHome,
        /// The owner is not in the view.
        NoOwner,
        /// It was relayed too often.
        Hops,
        /// No target has a grant for new work.
        NoGrant,
        /// The grant of the flow's target has run out.
        GrantExpired,
        /// The table of flows is full.
        TableFull,
        /// A reply that no target of the service sent.
        Foreign,
        /// The flow may live on in a data centre that is cut off.
        Unreachable,
        /// This instance started or paused so recently that it may not know who owns what.
        Stalled,
        /// Too many packets of unknown flows came at once.
        #[serde(rename = "SeekLimit")]
        QueryLimit,
    }
}

impl DropReason {
    /// Returns the label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::NoService => "no_service",
            DropReason::NoHome => "no_home",
            DropReason::NoOwner => "no_owner",
            DropReason::Hops => "hops",
            DropReason::NoGrant => "no_grant",
            DropReason::GrantExpired => "grant_expired",
            DropReason::TableFull => "table_full",
            DropReason::Foreign => "foreign",
            DropReason::Unreachable => "unreachable",
            DropReason::Stalled => "stalled",
            DropReason::QueryLimit => "seek_limit",
        }
    }
}

/// Decision on one packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target.
    Deliver {
        /// Where the target takes packets.
        to: SocketAddr,
    },
    /// Send it to another instance.
    Relay {
        /// Where the instance takes messages.
        to: SocketAddr,
        /// What the instance shall do.
        step: Step,
    },
    /// Send it to a target, and tell the instance that sent it that the flow is kept here.
    Keep {
        /// Where the target takes packets.
        to: SocketAddr,
        /// Flow.
        hash: FlowHash,
    },
    /// Reset the flow of the packet.
    Reset {
        /// Target that is told as well as the caller, if any.
        target: Option<SocketAddr>,
    },
    /// Send it to the fabric, for the caller.
    Egress,
    /// Send it nowhere.
    Drop(DropReason),
}

impl Verdict {
    /// Sends a packet to an instance that shall steer it.
    pub fn relay(to: SocketAddr) -> Self {
        Verdict::Relay { to, step: Step::Steer }
    }

    /// Returns the label of the decision in metrics and spans.
    pub fn label(&self) -> &'static str {
        match self {
            Verdict::Deliver { .. } | Verdict::Keep { .. } => "delivered",
            Verdict::Relay { .. } => "relayed",
            Verdict::Reset { .. } => "reset",
            Verdict::Egress => "egress",
            Verdict::Drop(reason) => reason.label(),
        }
    }
}
