//! Messages by which instances keep flows whole while ownership moves.

use std::time::Duration;

use crate::default_table::WeightedTarget;
use crate::ids::{DataCentreId, Epoch, FlowHash, Generation, InstanceId, ServiceId, TargetId};

value_type! {
    /// One run of an instance.
    #[derive(PartialOrd, Ord)]
    pub struct Run {
        /// Instance.
        pub id: InstanceId,
        /// Number of the run.
        pub epoch: Epoch,
    }

    /// What a relayed packet asks of its receiver.
    pub enum Step {
        /// Steer it like a packet of the fabric.
        Steer,
        /// Place it, as its home may not take it yet.
        Place,
        /// Tell whether the flow is known; `index` is the receiver's place in the sender's chain.
        #[serde(rename = "Seek")]
        Query {
            /// Place in the chain of the sender.
            index: u8,
        },
        /// Answer to `Query`: the flow is unknown here.
        Missed {
            /// Place in the chain of the receiver.
            index: u8,
        },
        /// Answer to `Query`: the flow is bound to a target of the receiver's data centre.
        Found {
            /// Target.
            target: TargetId,
        },
        /// Answer to `Query` without a packet: the sender keeps the flow in its own data centre and
        /// has delivered the packet.
        Kept {
            /// Flow.
            hash: FlowHash,
            /// Data centre of the sender.
            data_centre: DataCentreId,
        },
    }

    /// A flow whose target is not the default one.
    pub struct WireOverride {
        /// Hash of the flow, in eight bytes.
        pub hash: [u8; 8],
        /// Index into [`OverrideBatch::targets`].
        pub target: u16,
    }

    /// Placement overrides of one service, from an instance that holds them to the next in rank.
    pub struct OverrideBatch {
        /// Number by which the sender recognises the acknowledgement.
        pub nonce: u64,
        /// Service.
        pub service: ServiceId,
        /// Targets that `entries` refer to.
        pub targets: Vec<TargetId>,
        /// Placement overrides.
        pub entries: Vec<WireOverride>,
        /// Flows that ended.
        pub ended: Vec<[u8; 8]>,
    }

    /// Acknowledgement of a batch.
    pub struct OverrideAck {
        /// Number of the batch.
        pub nonce: u64,
    }

    /// The base table of a service, by which the sender judges unknown flows.
    pub struct BaseTableUpdate {
        /// Service.
        pub service: ServiceId,
        /// Time for which the table has been the base.
        #[serde(with = "crate::millis")]
        pub used_for: Duration,
        /// Targets that the table is built from.
        pub targets: Vec<WeightedTarget>,
    }

    /// Acknowledgement of a base table.
    pub struct BaseTableAck {
        /// Service.
        pub service: ServiceId,
        /// Digest of what the table was built from.
        pub generation: Generation,
    }
}
