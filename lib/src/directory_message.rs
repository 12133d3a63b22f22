//! Messages by which instances tell each other the directory and which targets fell silent.

use std::time::Duration;

use crate::ids::{InstanceId, TargetId, Version};
use crate::route::{DirectoryRecord, Part};

/// Largest size of the records in one datagram, in bytes; stays below the usual path MTU.
pub const DATAGRAM_RECORD_BYTES: usize = 1_100;

copy_type! {
    /// State of a part at the sender.
    pub struct PartStatus {
        /// Version up to which the part is complete.
        pub complete: Version,
        /// Version of the last change, as far as the sender knows.
        pub changed: Version,
        /// Time since the store confirmed it, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub age: Duration,
    }

    /// Whether a target answers, as an instance found out.
    pub enum TargetCondition {
        /// Answers.
        Up,
        /// Does not answer.
        Down,
    }
}

value_type! {
    /// Datagram of records; a change that does not fit one datagram takes several of them.
    pub struct RecordsMessage {
        /// Part that the records belong to.
        pub part: Part,
        /// The receiver must be complete up to here to become complete by this message.
        pub from: Version,
        /// State of the part after the records.
        pub status: PartStatus,
        /// Reader whose tree of instances the change goes down; `None` when it goes to one instance
        /// or directly to all.
        pub root: Option<InstanceId>,
        /// Number that the datagrams of one change share.
        pub batch: u64,
        /// Number of this datagram within the change.
        pub index: u16,
        /// Number of datagrams of the change.
        pub count: u16,
        /// Records.
        pub records: Vec<DirectoryRecord>,
    }

    /// Message about the directory or a target.
    pub enum DirectoryMessage {
        /// The sender follows the store; states of the parts.
        Reading {
            /// State of each part, in the order of [`Part::ALL`].
            parts: Vec<PartStatus>,
        },
        /// Asks for what changed.
        Pull {
            /// Versions up to which the sender is complete, in the order of [`Part::ALL`].
            complete: Vec<Version>,
        },
        /// Records.
        Records(RecordsMessage),
        /// The condition of a target changed.
        Condition {
            /// Target.
            target: TargetId,
            /// Its condition.
            condition: TargetCondition,
        },
        /// Asks for datagrams of a change that were lost.
        Missing {
            /// Instance that divided the change into datagrams.
            origin: InstanceId,
            /// Number of the change.
            batch: u64,
            /// Numbers of the datagrams.
            indexes: Vec<u16>,
        },
    }
}

impl RecordsMessage {
    /// Returns the size of the records on the wire, in bytes.
    pub fn wire_bytes(&self) -> u64 {
        let size = |record| postcard::experimental::serialized_size(record).unwrap_or_default();
        self.records.iter().map(|record| size(record) as u64).sum()
    }
}
