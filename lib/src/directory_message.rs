//! Messages between instances that replicate the directory and report unresponsive targets and
//! demand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::circuit_breaker::BreakerState;
use crate::demand_exchange::DemandReport;
use crate::ids::{Cookie, InstanceId, TargetId, Version};
use crate::route::{DirectoryRecord, Part};
use crate::target_weight::WeightClass;

/// Maximum total size of the records in one datagram, in bytes. It leaves room for the headers
/// within the usual path MTU.
pub const DATAGRAM_RECORD_BYTES: usize = 1_100;

copy_type! {
    /// State of a part of the directory at the sender.
    pub struct PartStatus {
        /// Version up to which the part is complete.
        pub complete: Version,
        /// Version of the last change that the sender knows of.
        pub changed: Version,
        /// Time since the store last confirmed the part; whole milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub age: Duration,
    }

    /// Responsiveness of a target, as observed by an instance.
    pub enum TargetCondition {
        /// The target answers.
        Up,
        /// The target does not answer.
        Down,
    }

    /// Number of answers of a target that an instance observed.
    pub struct TargetAnswers {
        /// Cookie of the target.
        pub cookie: Cookie,
        /// All answers.
        pub answers: u32,
        /// Answers among them that took far longer than usual.
        pub outliers: u32,
    }

    /// Outcomes of the requests that an instance forwarded to a target.
    pub struct TargetOutcomes {
        /// Cookie of the target.
        pub cookie: Cookie,
        /// Requests that were answered. Counted only for a target whose circuit breaker is not
        /// closed.
        pub answered: u32,
        /// Requests that stalled.
        pub stalled: u32,
        /// Requests that were reported as stalled, now or before, and have been answered since.
        pub late: u32,
    }

    /// State of a target's circuit breaker.
    pub struct AnnouncedBreaker {
        /// Cookie of the target.
        pub cookie: Cookie,
        /// State of the circuit breaker.
        pub state: BreakerState,
    }

    /// Weight of a target.
    pub struct AnnouncedWeight {
        /// Cookie of the target.
        pub cookie: Cookie,
        /// Weight of the target.
        pub class: WeightClass,
    }
}

value_type! {
    /// Datagram of records. A change that does not fit one datagram is split into several.
    pub struct RecordsMessage {
        /// Part of the directory that the records belong to.
        pub part: Part,
        /// Version that the receiver must already be complete up to. The change then makes it
        /// complete up to `status.complete`. 0 if the change contains the complete part.
        pub from: Version,
        /// State of the part once all datagrams of the change have been merged.
        pub status: PartStatus,
        /// Root of the broadcast tree along which the change is relayed; `None` if it is sent to a
        /// single instance, or directly to all of them.
        pub root: Option<InstanceId>,
        /// Batch number, which all datagrams of one change share.
        pub batch: u64,
        /// Index of this datagram within the change, from 0.
        pub index: u16,
        /// Number of datagrams of the change.
        pub count: u16,
        /// Changed records, tombstones included.
        pub records: Vec<DirectoryRecord>,
    }

    /// Message that replicates the directory or reports the condition of a target or the demand of
    /// callers.
    pub enum DirectoryMessage {
        /// Heartbeat of a reader of a build that knows no eras of the store (see
        /// [`crate::store_version`]). Ignored, since such a reader cannot tell that the store was
        /// restored and would hold the others back.
        Reading {
            /// State of each part, in the order of [`Part::ALL`].
            parts: Vec<PartStatus>,
        },
        /// Requests the changes that the sender lacks.
        Pull {
            /// Versions up to which the sender is complete, in the order of [`Part::ALL`]. Empty if
            /// the sender only asks for the reader, since it has received no heartbeat yet.
            complete: Vec<Version>,
        },
        /// Changes of one part, or one datagram of them.
        Records(RecordsMessage),
        /// The condition of a target changed.
        Condition {
            /// Target whose condition changed.
            target: TargetId,
            /// New condition of the target.
            condition: TargetCondition,
        },
        /// Repair request: asks for the retransmission of lost datagrams.
        Missing {
            /// Instance that split the change into datagrams.
            origin: InstanceId,
            /// Batch number of the change.
            batch: u64,
            /// Indexes of the missing datagrams within the change.
            indexes: Vec<u16>,
        },
        /// Heartbeat of a reader, which watches the platform's object store.
        Heartbeat {
            /// State of each part, in the order of [`Part::ALL`].
            parts: Vec<PartStatus>,
        },
        /// Names the reader whose heartbeats the sender receives, to an instance that seems not to
        /// receive them.
        ReaderHint {
            /// Name of the reader.
            reader: InstanceId,
            /// Address for messages to the reader.
            peer: SocketAddr,
            /// State of each part at the reader, from its last heartbeat.
            parts: Vec<PartStatus>,
            /// Time since that heartbeat; whole milliseconds on the wire.
            #[serde(with = "crate::millis")]
            age: Duration,
        },
        /// Numbers of answers that the sender observed, for the instance that collects them.
        AnswerReport {
            /// Targets with their numbers of answers since the sender's last report on them.
            targets: Vec<TargetAnswers>,
        },
        /// Weights of targets that answer slowly or that recovered.
        WeightReport {
            /// Targets with their weights.
            targets: Vec<AnnouncedWeight>,
        },
        /// Reports the demand of callers.
        Demand(DemandReport),
        /// Several consecutive health checks of the sender were refused by the target's host. Sent
        /// by instances that report the target down.
        Refused {
            /// Target whose host refused the connections.
            target: TargetId,
        },
        /// Outcomes of the sender's requests, for the instance that collects them. Sent only while
        /// requests stall. Builds that do not know this message discard it.
        OutcomeReport {
            /// Targets with the outcomes since the sender's last report on them.
            targets: Vec<TargetOutcomes>,
        },
        /// States of circuit breakers, a lease that must be renewed. Builds that do not know this
        /// message discard it.
        BreakerReport {
            /// Targets with the states of their breakers.
            targets: Vec<AnnouncedBreaker>,
        },
    }
}

impl RecordsMessage {
    /// Returns the encoded size of the records in bytes, without the message header.
    pub fn wire_bytes(&self) -> u64 {
        let size = |record| postcard::experimental::serialized_size(record).unwrap_or_default();
        self.records.iter().map(|record| size(record) as u64).sum()
    }
}
