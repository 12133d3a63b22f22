//! Messages with which instances exchange configuration.
//!
//! The encoding is positional and has no field names. A released variant must therefore never
//! change, and new variants are added at the end.

use smol_str::SmolStr;

use crate::config::{StoredRecord, MAX_RECORD_BYTES, OVERSIZED_BODY_PLACEHOLDER};
use crate::config_digest::RecordKey;
use crate::ids::{InstanceId, Version};
use crate::platform::Object;

/// Largest size of the records in a message, in bytes. A message exceeds it only if it holds a
/// single larger record.
pub const MESSAGE_BYTES: usize = 1_100;
/// Estimated encoding overhead of one object, such as its version and length prefixes.
const OBJECT_OVERHEAD_BYTES: usize = 24;

value_type! {
    /// A record as instances send it to each other.
    pub struct WireObject {
        /// Kind of the record, such as `service`.
        pub kind: SmolStr,
        /// Name of the record, unique within its kind.
        pub name: SmolStr,
        /// Version of the record's last write.
        pub version: Version,
        /// Contents as JSON text, or `None` if the record was deleted.
        pub body: Option<String>,
    }

    /// State of the sender's configuration, for comparison with the receiver's.
    pub struct Summary {
        /// Version up to which the sender has received every change.
        pub complete: Version,
        /// Digest of the versions of all records.
        pub total: u64,
        /// Time since the last contact between a watcher and the platform, in milliseconds;
        /// `u64::MAX` if the sender knows of none.
        pub age_ms: u64,
    }

    /// New changes, forwarded along a tree whose root is the instance that started the push.
    pub struct Push {
        /// Instance that started the push.
        pub root: InstanceId,
        /// Number of the push, unique for the root and greater than those of its earlier pushes.
        pub number: u64,
        /// Summary of the root after it applied the changes.
        pub summary: Summary,
        /// Changed records.
        pub objects: Vec<WireObject>,
    }

    /// Versions of the sender's records in one leaf of the digest.
    pub struct Leaf {
        /// Number of the leaf, below [`LEAF_COUNT`](crate::config_digest::LEAF_COUNT).
        pub number: u16,
        /// Key and version of each record.
        pub entries: Vec<(RecordKey, Version)>,
    }

    /// Message of the configuration propagation.
    pub enum ConfigMessage {
        /// Changes to apply and to forward.
        Push(Push),
        /// Acknowledgement of a push.
        Ack {
            /// Instance that started the push.
            root: InstanceId,
            /// Number of the push at its root.
            number: u64,
        },
        /// Request for a comparison, with the summary of the sender.
        Compare(Summary),
        /// Reply to a summary whose digest differs from the sender's.
        Groups {
            /// Summary of the sender.
            summary: Summary,
            /// Digests of all groups, in their order.
            digests: Vec<u64>,
        },
        /// Digests of the leaves of a group whose digests differ.
        Group {
            /// Number of the group, below [`FAN_OUT`](crate::config_digest::FAN_OUT).
            group: u8,
            /// Digests of the leaves of the group, in their order.
            digests: Vec<u64>,
        },
        /// Versions of the records in leaves whose digests differ. The receiver sends the records
        /// of which it has newer versions, and replies with its own versions if some of its records
        /// are missing or older.
        Leaves {
            /// Versions in each of the leaves.
            leaves: Vec<Leaf>,
            /// Whether this message is itself a reply, to which no versions are sent in reply.
            is_answer: bool,
        },
        /// Records that are missing or older at the receiver.
        Objects(Vec<WireObject>),
    }
}

impl WireObject {
    /// Converts an object of the platform. A body of more than [`MAX_RECORD_BYTES`] is replaced by
    /// [`OVERSIZED_BODY_PLACEHOLDER`], so that every instance refuses the record.
    pub fn new(object: &Object) -> Self {
        let body = object.body.as_ref().map(ToString::to_string).map(|body| {
            if body.len() > MAX_RECORD_BYTES {
                OVERSIZED_BODY_PLACEHOLDER.into()
            } else {
                body
            }
        });
        let (kind, name) = (object.kind.clone(), object.name.clone());
        Self { kind, name, version: object.version, body }
    }

    /// Converts a stored record.
    pub fn from_record(record: &StoredRecord) -> Self {
        Self {
            kind: record.kind.name().into(),
            name: record.name.clone(),
            version: record.version,
            body: record.body.as_ref().map(ToString::to_string),
        }
    }

    /// Converts back to an object of the platform, or returns `None` if the body is not valid JSON.
    pub fn object(&self) -> Option<Object> {
        let body = match &self.body {
            Some(body) => Some(serde_json::from_str(body).ok()?),
            None => None,
        };
        let (kind, name) = (self.kind.clone(), self.name.clone());
        Some(Object { kind, name, version: self.version, body })
    }

    /// Returns the approximate encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        let body = self.body.as_ref().map_or(0, String::len);
        OBJECT_OVERHEAD_BYTES + self.kind.len() + self.name.len() + body
    }
}

/// Splits objects into groups of at most [`MESSAGE_BYTES`] each, one for each message. A larger
/// object gets a group of its own.
pub fn chunks(objects: Vec<WireObject>) -> Vec<Vec<WireObject>> {
    let mut chunks: Vec<Vec<WireObject>> = Vec::new();
    let mut remaining_bytes = 0;
    for object in objects {
        let bytes = object.bytes();
        if bytes > remaining_bytes || chunks.is_empty() {
            chunks.push(Vec::new());
            remaining_bytes = MESSAGE_BYTES;
        }
        remaining_bytes = remaining_bytes.saturating_sub(bytes);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(object);
        }
    }
    chunks
}
