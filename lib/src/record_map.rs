//! Ordered map with structural sharing.
//!
//! Entries are stored in sorted chunks, each behind its own `Arc`. Cloning the map clones one
//! pointer per chunk, and a change to the clone copies only the chunk that holds the entry.

use std::sync::Arc;

use smol_str::SmolStr;

/// Maximum number of entries in a chunk; a larger chunk is split in half.
const MAX_CHUNK_ENTRIES: usize = 128;

type Chunk<T> = Vec<(SmolStr, T)>;

/// Ordered map from names to values that is cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordMap<T> {
    chunks: Vec<Arc<Chunk<T>>>,
}

impl<T> Default for RecordMap<T> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<T: Clone> RecordMap<T> {
    /// Returns the value of a name, or `None` if the map has no such name.
    pub fn get(&self, name: &str) -> Option<&T> {
        let chunk = self.chunks.get(self.chunk_index(name))?;
        let index = chunk.binary_search_by(|(key, _)| key.as_str().cmp(name)).ok()?;
        Some(&chunk[index].1)
    }

    /// Inserts a value, or replaces the value that the name has.
    pub fn insert(&mut self, name: SmolStr, value: T) {
        if self.chunks.is_empty() {
            self.chunks.push(Arc::new(vec![(name, value)]));
            return;
        }
        let at = self.chunk_index(&name).min(self.chunks.len() - 1);
        let chunk = Arc::make_mut(&mut self.chunks[at]);
        match chunk.binary_search_by(|(key, _)| key.cmp(&name)) {
            Ok(index) => chunk[index].1 = value,
            Err(index) => {
                chunk.reserve_exact(1);
                chunk.insert(index, (name, value));
            }
        }
        if chunk.len() > MAX_CHUNK_ENTRIES {
            let upper = chunk.split_off(MAX_CHUNK_ENTRIES / 2);
            chunk.shrink_to_fit();
            self.chunks.insert(at + 1, Arc::new(upper));
        }
    }

    /// Returns the entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &T)> {
        self.chunks.iter().flat_map(|chunk| chunk.iter().map(|(name, value)| (name, value)))
    }

    /// Returns the index of the first chunk whose last name is not less than `name`, or the number of
    /// chunks if there is none.
    fn chunk_index(&self, name: &str) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().is_some_and(|(last, _)| last < name))
    }
}
