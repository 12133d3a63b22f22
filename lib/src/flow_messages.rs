//! Messages between instances that keep flows bound to their targets while their owners change.

use std::time::Duration;

use crate::default_table::WeightedTarget;
use crate::ids::{DataCentreId, Epoch, FlowHash, Generation, InstanceId, ServiceId, TargetId};

value_type! {
    /// One run of an instance, from its start until it stops.
    #[derive(PartialOrd, Ord)]
    pub struct Run {
        /// Name of the instance.
        pub id: InstanceId,
        /// Number of the run; a later run has a larger one.
        pub epoch: Epoch,
    }

    /// Action that the receiver of a relayed packet takes on it.
    pub enum Step {
        /// Forward the packet as if it came from the fabric.
        Steer,
        /// Place the flow in the receiver's data centre, as its home may not accept it yet.
        Place,
        /// Look the flow up and answer with `Missed`, `Found` or `Kept`.
        #[serde(rename = "Seek")]
        Query {
            /// Position of the receiver in the sender's list of instances to ask.
            index: u8,
        },
        /// Answer to `Query`: the sender does not know the flow.
        Missed {
            /// Position of the sender in the receiver's list of instances to ask, from the `Query`.
            index: u8,
        },
        /// Answer to `Query`: the flow is bound to a target of the receiver's data centre, and the
        /// receiver takes it over.
        Found {
            /// Name of the target.
            target: TargetId,
        },
        /// Answer to `Query` without a packet: the sender keeps the flow in its own data centre and
        /// has delivered the packet.
        Kept {
            /// Hash of the flow.
            hash: FlowHash,
            /// Data centre of the sender.
            data_centre: DataCentreId,
        },
    }

    /// Placement override of one flow, as it is sent.
    pub struct WireOverride {
        /// Hash of the flow, in big-endian order.
        pub hash: [u8; 8],
        /// Index into [`OverrideBatch::targets`].
        pub target: u16,
    }

    /// Placement overrides of one service, sent to the next owner in rank.
    pub struct OverrideBatch {
        /// Number by which the sender matches the acknowledgement to the batch.
        pub nonce: u64,
        /// Name of the service.
        pub service: ServiceId,
        /// Names of the targets that `entries` refer to by index.
        pub targets: Vec<TargetId>,
        /// Placement overrides to record.
        pub entries: Vec<WireOverride>,
        /// Hashes, in big-endian order, of flows whose placement overrides are to be removed.
        pub ended: Vec<[u8; 8]>,
    }

    /// Acknowledgement of a batch.
    pub struct OverrideAck {
        /// Nonce of the batch.
        pub nonce: u64,
    }

    /// Base table of a service, from which the sender infers the targets of unknown flows.
    pub struct BaseTableUpdate {
        /// Name of the service.
        pub service: ServiceId,
        /// Time for which the base table has been in use.
        #[serde(with = "crate::millis")]
        pub used_for: Duration,
        /// Targets that the table is built from, ordered by name.
        pub targets: Vec<WeightedTarget>,
    }

    /// Acknowledgement of a base table.
    pub struct BaseTableAck {
        /// Name of the service.
        pub service: ServiceId,
        /// Digest of the inputs of the received table.
        pub generation: Generation,
    }
}
