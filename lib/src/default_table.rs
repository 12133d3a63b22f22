//! Default tables, which give the target of each flow that has no placement override.

use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::ids::{FlowHash, Generation, TargetId};
use crate::owner::{score, seed};

/// Number of slots of a default table; a flow falls into one of them by its hash.
pub const TABLE_SLOTS: usize = 2_048;

value_type! {
    /// Target with its share of a default table.
    pub struct WeightedTarget {
        /// Name of the target.
        pub id: TargetId,
        /// Share of the flows relative to the weights of the other targets; 0 excludes the target.
        pub weight: u32,
    }
}

/// Algorithm that builds default tables; a setting chooses it by name.
///
/// Instances compute tables independently, so equal arguments must give equal tables everywhere.
pub trait Picker: Send + Sync {
    /// Builds the table of a service from its targets, which may be in any order.
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable;
}

/// Immutable mapping from the hash of a flow to its default target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefaultTable {
    generation: Generation,
    targets: Vec<TargetId>,
    slots: Vec<u16>,
}

impl DefaultTable {
    /// Creates a table whose slots hold indexes into `targets`. `generation` is the digest that
    /// [`generation_of`] returns for the targets.
    pub fn new(generation: Generation, targets: Vec<TargetId>, slots: Vec<u16>) -> Self {
        Self { generation, targets, slots }
    }

    /// Returns the digest of the inputs that the table was built from.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the targets in the order that the slots' indexes refer to.
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

/// Returns the digest of the inputs of a table. It depends on the order of `targets`, so callers
/// sort them by name.
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

/// Rendezvous hashing with bounded loads: no target gets more slots than its share by weight,
/// rounded up.
pub struct BoundedRendezvous;

impl Picker for BoundedRendezvous {
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable {
        let (targets, generation) = sorted_weighted(service, targets);
        let seeds = seeds(service, &targets);
        let mut free = slot_limits(&targets);
        let mut slots = Vec::with_capacity(TABLE_SLOTS);
        for slot in 0..TABLE_SLOTS as u64 {
            let Some(index) = best_target(&seeds, slot, |index| free[index] > 0) else { continue };
            free[index] -= 1;
            slots.push(index as u16);
        }
        new_table(generation, &targets, slots)
    }
}

/// Rendezvous hashing without a bound on the load of a target. A weight of 0 excludes a target; all
/// other weights count the same.
pub struct PlainRendezvous;

impl Picker for PlainRendezvous {
    fn build(&self, service: &str, targets: &[WeightedTarget]) -> DefaultTable {
        let (targets, generation) = sorted_weighted(service, targets);
        let seeds = seeds(service, &targets);
        let slots = (0..TABLE_SLOTS as u64)
            .filter_map(|slot| best_target(&seeds, slot, |_| true))
            .map(|index| index as u16)
            .collect();
        new_table(generation, &targets, slots)
    }
}

/// A picker in the registry.
pub struct PickerPlugin {
    /// Name by which settings select it.
    pub name: &'static str,
    /// Creates the picker.
    pub create: fn() -> Arc<dyn Picker>,
}

inventory::collect!(PickerPlugin);

inventory::submit! {
    PickerPlugin { name: "bounded-rendezvous", create: || Arc::new(BoundedRendezvous) }
}

inventory::submit! {
    PickerPlugin { name: "plain-rendezvous", create: || Arc::new(PlainRendezvous) }
}

fn sorted_weighted(service: &str, targets: &[WeightedTarget]) -> (Vec<WeightedTarget>, Generation) {
    let mut weighted: Vec<_> = targets.iter().filter(|target| target.weight > 0).cloned().collect();
    weighted.sort_by(|a, b| a.id.cmp(&b.id));
    let generation = generation_of(service, &weighted);
    (weighted, generation)
}

fn seeds(service: &str, targets: &[WeightedTarget]) -> Vec<u64> {
    targets.iter().map(|target| seed(service, &target.id)).collect()
}

fn slot_limits(targets: &[WeightedTarget]) -> Vec<usize> {
    let total: usize = targets.iter().map(|target| target.weight as usize).sum();
    let share = |target: &WeightedTarget| (TABLE_SLOTS * target.weight as usize).div_ceil(total);
    targets.iter().map(share).collect()
}

fn best_target(seeds: &[u64], slot: u64, accept: impl Fn(usize) -> bool) -> Option<usize> {
    let candidates = (0..seeds.len()).filter(|index| accept(*index));
    candidates.max_by_key(|index| (score(seeds[*index], slot), *index))
}

fn new_table(generation: Generation, targets: &[WeightedTarget], slots: Vec<u16>) -> DefaultTable {
    let ids = targets.iter().map(|target| target.id.clone()).collect();
    DefaultTable::new(generation, ids, slots)
}
