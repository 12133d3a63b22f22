//! Default tables: which target a flow goes to unless a placement override says otherwise.

use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::ids::{FlowHash, Generation, TargetId};
use crate::owner::{score, seed};
use crate::plugin::PickerPlugin;

/// Number of slots of a table.
pub const TABLE_SLOTS: usize = 2_048;

value_type! {
    /// A target that takes part in a table.
    pub struct WeightedTarget {
        /// Name of the target.
        pub id: TargetId,
        /// Share of flows relative to the other targets; 0 leaves the target out.
        pub weight: u32,
    }
}

/// Builds default tables. Equal arguments give equal tables on every instance.
pub trait Picker: Send + Sync {
    /// Builds the table of a service over its targets.
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable;
}

/// Immutable table from the hash of a flow to its default target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefaultTable {
    generation: Generation,
    targets: Vec<TargetId>,
    slots: Vec<u16>,
}

impl DefaultTable {
    /// Creates a table whose slots hold indexes into `targets`.
    pub fn new(generation: Generation, targets: Vec<TargetId>, slots: Vec<u16>) -> Self {
        Self { generation, targets, slots }
    }

    /// Returns the digest of what the table was built from.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the targets, in the order that indexes refer to.
    pub fn targets(&self) -> &[TargetId] {
        &self.targets
    }

    /// Returns the slots, each an index into [`DefaultTable::targets`].
    pub fn slots(&self) -> &[u16] {
        &self.slots
    }

    /// Returns the index of the default target of a flow, or `None` in an empty table.
    pub fn default_for(&self, hash: FlowHash) -> Option<usize> {
        if self.slots.is_empty() {
            return None;
        }
        let slot = (hash & 0xffff_ffff) as usize % self.slots.len();
        Some(usize::from(self.slots[slot]))
    }
}

/// Digest of the inputs of a table.
pub fn generation_of(service: &str, targets: &[WeightedTarget]) -> Generation {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_bytes());
    for target in targets {
        hasher.write_u8(0);
        hasher.write(target.id.as_bytes());
        hasher.write_u32(target.weight);
    }
    hasher.finish()
}

/// Rendezvous hashing in which no target gets more slots than its weight entitles it to.
pub struct BoundedRendezvous;

impl Picker for BoundedRendezvous {
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable {
        let (targets, generation) = active(service, targets);
        let seeds = seeds(service, &targets);
        let mut room = capacities(&targets);
        let mut slots = Vec::with_capacity(TABLE_SLOTS);
        for slot in 0..TABLE_SLOTS as u64 {
            let Some(index) = best(&seeds, slot, |index| room[index] > 0) else { continue };
            room[index] -= 1;
            slots.push(index as u16);
        }
        table(generation, &targets, slots)
    }
}

/// Plain rendezvous hashing, with no bound on the load of a target.
pub struct PlainRendezvous;

impl Picker for PlainRendezvous {
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable {
        let (targets, generation) = active(service, targets);
        let seeds = seeds(service, &targets);
        let slots = (0..TABLE_SLOTS as u64)
            .filter_map(|slot| best(&seeds, slot, |_| true))
            .map(|index| index as u16)
            .collect();
        table(generation, &targets, slots)
    }
}

inventory::submit! {
    PickerPlugin { name: "bounded-rendezvous", create: || Arc::new(BoundedRendezvous) }
}

inventory::submit! {
    PickerPlugin { name: "plain-rendezvous", create: || Arc::new(PlainRendezvous) }
}

fn active(service: &str, targets: &[WeightedTarget]) -> (Vec<WeightedTarget>, Generation) {
    let mut active: Vec<_> = targets.iter().filter(|target| target.weight > 0).cloned().collect();
    active.sort_by(|a, b| a.id.cmp(&b.id));
    let generation = generation_of(service, &active);
    (active, generation)
}

fn seeds(service: &str, targets: &[WeightedTarget]) -> Vec<u64> {
    targets.iter().map(|target| seed(service, &target.id)).collect()
}

fn capacities(targets: &[WeightedTarget]) -> Vec<usize> {
    let total: usize = targets.iter().map(|target| target.weight as usize).sum();
    let share = |target: &WeightedTarget| (TABLE_SLOTS * target.weight as usize).div_ceil(total);
    targets.iter().map(share).collect()
}

fn best(seeds: &[u64], slot: u64, accept: impl Fn(usize) -> bool) -> Option<usize> {
    let candidates = (0..seeds.len()).filter(|index| accept(*index));
    candidates.max_by_key(|index| (score(seeds[*index], slot), *index))
}

fn table(generation: Generation, targets: &[WeightedTarget], slots: Vec<u16>) -> DefaultTable {
    let ids = targets.iter().map(|target| target.id.clone()).collect();
    DefaultTable::new(generation, ids, slots)
}
