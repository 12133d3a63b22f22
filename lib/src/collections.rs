//! Hash maps with a fast hasher.
//!
//! The hasher has a fixed seed, so it does not withstand crafted keys: callers hash keys from
//! untrusted sources with a secret key first (see [`crate::flow::FlowHasher`]). Decisions never
//! depend on iteration order: code that decides by iterating uses an ordered map.

use foldhash::fast::FixedState;

/// Hash map with a fast hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// Hash set with a fast hasher.
pub type HashSet<K> = std::collections::HashSet<K, FixedState>;
