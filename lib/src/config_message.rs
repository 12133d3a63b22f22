//! Messages by which instances pass configuration to one another.
//!
//! The encoding has no field names: a variant, once released, never changes, and new variants are
//! added at the end.

use smol_str::SmolStr;

use crate::config::{StoredRecord, MAX_RECORD_BYTES, OVERSIZED_BODY_PLACEHOLDER};
use crate::config_digest::RecordKey;
use crate::ids::{InstanceId, Version};
use crate::platform::Object;

/// Bytes of records after which a message is full.
pub const MESSAGE_BYTES: usize = 1_100;
const OBJECT_OVERHEAD_BYTES: usize = 24;

value_type! {
    /// A record as it crosses the wire.
    pub struct WireObject {
        /// Kind.
        pub kind: SmolStr,
        /// Name.
        pub name: SmolStr,
        /// Version.
        pub version: Version,
        /// JSON text, or `None` when the record was deleted.
        pub body: Option<String>,
    }

    /// How far the sender's configuration is.
    pub struct Summary {
        /// Version up to which the sender has every change.
        pub complete: Version,
        /// Digest of the versions of all records.
        pub total: u64,
        /// Time since a watcher last heard the platform, in milliseconds.
        pub age_ms: u64,
    }

    /// Newest changes, on their way down the tree that starts at the watcher.
    pub struct Push {
        /// Instance at which the tree starts.
        pub root: InstanceId,
        /// Number of the push, unique and growing for the root.
        pub number: u64,
        /// Summary of the root after the changes.
        pub summary: Summary,
        /// Changes.
        pub objects: Vec<WireObject>,
    }

    /// Versions that the sender has in one leaf of the digest.
    pub struct Leaf {
        /// Number of the leaf.
        pub number: u16,
        /// Keys of records with their versions.
        pub entries: Vec<(RecordKey, Version)>,
    }

    /// Message about configuration.
    pub enum ConfigMessage {
        /// Changes to apply and to pass on.
        Push(Push),
        /// Receipt of a push.
        Ack {
            /// Instance at which the tree starts.
            root: InstanceId,
            /// Number of the push.
            number: u64,
        },
        /// Start of a comparison.
        Compare(Summary),
        /// Answer to a comparison that differs: summary and digests of all groups.
        Groups {
            /// Summary of the sender.
            summary: Summary,
            /// Digest of each group.
            digests: Vec<u64>,
        },
        /// Digests of the leaves of a group that differs.
        Group {
            /// Number of the group.
            group: u8,
            /// Digest of each leaf.
            digests: Vec<u64>,
        },
        /// Versions in leaves that differ; the receiver sends what is newer, and answers with its
        /// own versions when it lacks something.
        Leaves {
            /// Leaves.
            leaves: Vec<Leaf>,
            /// Whether this is an answer, which gets no answer.
            is_answer: bool,
        },
        /// Records that the receiver lacks.
        Objects(Vec<WireObject>),
    }
}

impl WireObject {
    /// Converts an object of the platform; the body of one that is too large becomes unreadable.
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

    /// Converts a record.
    pub fn from_record(record: &StoredRecord) -> Self {
        Self {
            kind: record.kind.name().into(),
            name: record.name.clone(),
            version: record.version,
            body: record.body.as_ref().map(ToString::to_string),
        }
    }

    /// Converts back to an object of the platform; `None` when the body is no JSON.
    pub fn object(&self) -> Option<Object> {
        let body = match &self.body {
            Some(body) => Some(serde_json::from_str(body).ok()?),
            None => None,
        };
        let (kind, name) = (self.kind.clone(), self.name.clone());
        Some(Object { kind, name, version: self.version, body })
    }

    /// Returns the approximate size on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        let body = self.body.as_ref().map_or(0, String::len);
        OBJECT_OVERHEAD_BYTES + self.kind.len() + self.name.len() + body
    }
}

/// Splits objects into messages of about [`MESSAGE_BYTES`].
pub fn chunks(objects: Vec<WireObject>) -> Vec<Vec<WireObject>> {
    let mut chunks: Vec<Vec<WireObject>> = Vec::new();
    let mut room = 0;
    for object in objects {
        let bytes = object.bytes();
        if bytes > room || chunks.is_empty() {
            chunks.push(Vec::new());
            room = MESSAGE_BYTES;
        }
        room = room.saturating_sub(bytes);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(object);
        }
    }
    chunks
}
