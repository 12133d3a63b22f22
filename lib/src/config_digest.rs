//! Digest of the versions of all records: a hash tree with which two instances find the records
//! that differ between their configurations.

use std::sync::Arc;

use crate::ids::Version;
use crate::owner::{score, seed};
use crate::record::RecordKind;

/// Number of groups in the tree, and of leaves in each group.
pub const FAN_OUT: usize = 32;
/// Number of leaves in the tree.
pub const LEAF_COUNT: usize = FAN_OUT * FAN_OUT;

/// Hash of the kind and name of a record.
pub type RecordKey = u64;

/// Returns the key of the record with the given kind and name.
pub fn record_key(kind: RecordKind, name: &str) -> RecordKey {
    seed(kind.name(), name)
}

/// Returns the number of the leaf that a record belongs to, below [`LEAF_COUNT`].
pub fn leaf_of(key: RecordKey) -> u16 {
    (key % LEAF_COUNT as u64) as u16
}

/// Digests of the versions of all records, one for each leaf.
///
/// A leaf's digest is the XOR of the hashes of its records' versions, so that the order in which
/// records change does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDigest {
    leaves: Arc<Vec<u64>>,
}

impl Default for ConfigDigest {
    fn default() -> Self {
        Self { leaves: Arc::new(vec![0; LEAF_COUNT]) }
    }
}

impl ConfigDigest {
    /// Replaces the version of a record; an `old` version of 0 means that the record is new.
    pub fn replace(&mut self, key: RecordKey, old: Version, new: Version) {
        let leaf = &mut Arc::make_mut(&mut self.leaves)[usize::from(leaf_of(key))];
        if old > 0 {
            *leaf ^= score(key, old);
        }
        *leaf ^= score(key, new);
    }

    /// Returns the digest of all records.
    pub fn total(&self) -> u64 {
        self.leaves.iter().fold(0, |total, leaf| total ^ leaf)
    }

    /// Returns the digest of each group, in the order of the groups.
    pub fn groups(&self) -> Vec<u64> {
        let group = |leaves: &[u64]| leaves.iter().fold(0, |digest, leaf| digest ^ leaf);
        self.leaves.chunks(FAN_OUT).map(group).collect()
    }

    /// Returns the digests of the leaves of a group, or an empty slice if there is no such group.
    pub fn group(&self, group: u8) -> &[u64] {
        let start = usize::from(group) * FAN_OUT;
        self.leaves.get(start..start + FAN_OUT).unwrap_or_default()
    }
}
