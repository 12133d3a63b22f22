//! Decision of the packet forwarder on one packet.

use std::net::SocketAddr;

use crate::flow_messages::Step;
use crate::ids::FlowHash;

copy_type! {
    /// Reason why a packet is dropped.
    pub enum DropReason {
        /// No service has the destination address of the packet.
        NoService,
        /// No data centre of the service accepts the packet.
        NoHome,
        /// The flow has no owner in the view of this instance.
        NoOwner,
        /// The packet was relayed [`MAX_HOPS`](crate::steering::MAX_HOPS) times.
        Hops,
        /// No target has a grant that allows another connection, or the target that another
        /// instance reported is unknown here.
        NoGrant,
        /// The grant of the flow's target has expired.
        GrantExpired,
        /// The flow table is full.
        TableFull,
        /// The packet is a reply from an address that no target of the service has.
        Foreign,
        /// The flow may live on in a data centre of which no instance is reachable.
        Unreachable,
        /// This instance started or was paused so recently that the owners that it computes may be
        /// out of date.
        Stalled,
        /// This instance has reached its limit of queries about unknown flows in this tick.
        #[serde(rename = "SeekLimit")]
        QueryLimit,
    }
}

impl DropReason {
    /// Returns the value that stands for the reason in metric labels.
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
    /// Deliver the packet to a target.
    Deliver {
        /// Tunnel address of the target.
        to: SocketAddr,
    },
    /// Relay the packet to another instance.
    Relay {
        /// Address of the instance for messages between instances.
        to: SocketAddr,
        /// Action that the instance is asked to take.
        step: Step,
    },
    /// Deliver the packet to a target, and report to the instance that relayed the packet that this
    /// data centre keeps the flow.
    Keep {
        /// Tunnel address of the target.
        to: SocketAddr,
        /// Keyed hash of the flow.
        hash: FlowHash,
    },
    /// Reset the flow of the packet towards the caller.
    Reset {
        /// Tunnel address of the target that gets a reset as well; `None` if only the caller gets
        /// one.
        target: Option<SocketAddr>,
    },
    /// Send the packet to the fabric, which carries it to the caller.
    Egress,
    /// Drop the packet.
    Drop(DropReason),
}

impl Verdict {
    /// Creates the decision to relay a packet to an instance that steers it.
    pub fn relay(to: SocketAddr) -> Self {
        Verdict::Relay { to, step: Step::Steer }
    }

    /// Returns the value that stands for the decision in metric labels and spans.
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
