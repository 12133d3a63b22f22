//! Messages of the membership protocol.

use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::view::Member;

value_type! {
    /// Request or response in a message of the membership protocol.
    ///
    /// The encoding has no names, so the order of variants and fields is fixed.
    pub enum GossipBody {
        /// Probes the receiver, which replies with a [`GossipBody::Ack`].
        Ping {
            /// Sequence number, which the acknowledgement repeats.
            seq: u64,
        },
        /// Acknowledges a probe.
        Ack {
            /// Sequence number of the ping or of the request for an indirect probe.
            seq: u64,
        },
        /// Requests an indirect probe: the receiver pings `target` and relays its acknowledgement.
        PingRequest {
            /// Sequence number, which the relayed acknowledgement repeats.
            seq: u64,
            /// Member to probe.
            target: InstanceId,
        },
        /// Requests the next part of the receiver's member list.
        Pull {
            /// Name after which the part starts; empty for the first part.
            after: InstanceId,
        },
        /// Part of the sender's member list, whose records are the message's updates.
        Part {
            /// Name after which the next part starts; `None` in the last part.
            next: Option<InstanceId>,
        },
    }

    /// Message of the membership protocol.
    pub struct GossipMessage {
        /// Record of the sender.
        pub from: Member,
        /// Request or response.
        pub body: GossipBody,
        /// Piggybacked records of other members.
        pub updates: Vec<Member>,
    }
}

/// Message with the address that it is sent to.
pub type Outgoing = (SocketAddr, GossipMessage);
