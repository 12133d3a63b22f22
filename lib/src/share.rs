//! Division of a target's capacity among the owners of its service.

/// Divisor of an owner's even share, for the connections that it gets without any load.
const RESERVE_DIVISOR: u32 = 4;

/// A part of a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fraction {
    /// Part.
    pub numerator: u64,
    /// Whole; not zero.
    pub denominator: u64,
}

impl Fraction {
    /// Returns the part of `capacity` that falls to this fraction.
    ///
    /// A majority is rounded up and every other fraction down, so that the parts of disjoint
    /// fractions never add up to more than `capacity`.
    pub fn of(self, capacity: u32) -> u32 {
        let product = u64::from(capacity) * self.numerator.min(self.denominator);
        let is_majority = self.numerator * 2 > self.denominator;
        let denominator = self.denominator.max(1);
        let rounded =
            if is_majority { product.div_ceil(denominator) } else { product / denominator };
        rounded as u32
    }
}

/// What an owner does with the slots of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotDemand {
    /// Running requests by target.
    pub running: Vec<u32>,
    /// Slots held by target.
    pub held: Vec<u32>,
    /// Requests that wait for a slot of any target.
    pub waiting: u32,
}

struct SlotDistributor<'a> {
    free: Vec<u32>,
    owners: &'a [SlotDemand],
    shares: Vec<Vec<u32>>,
    rotation: usize,
}

/// Divides the slots of a service's targets in whole units; returns them by owner and target.
///
/// Owners with running or waiting requests get slots evenly, preferably those that they use, and
/// what is left is spread so that every owner has some at hand. `rotation` rotates who comes first.
pub fn divide_slots(slots: &[u32], owners: &[SlotDemand], rotation: usize) -> Vec<Vec<u32>> {
    let shares = owners.iter().map(|_| vec![0; slots.len()]).collect();
    let mut distributor = SlotDistributor { free: slots.to_vec(), owners, shares, rotation };
    let demands = owners.iter().map(total_demand).collect::<Vec<_>>();
    distributor.distribute(|owner, assigned| assigned < demands[owner]);
    distributor.distribute(|_, _| true);
    distributor.shares
}

fn total_demand(owner: &SlotDemand) -> u32 {
    owner.running.iter().sum::<u32>() + owner.waiting
}

impl SlotDistributor<'_> {
    /// Gives one slot after another to the owner that has fewest among those that `wants` takes.
    fn distribute(&mut self, wants: impl Fn(usize, u32) -> bool) {
        let order = self.rotated_owners();
        let mut assigned: Vec<u32> = self.shares.iter().map(|share| share.iter().sum()).collect();
        while let Some(owner) = order
            .iter()
            .copied()
            .filter(|owner| wants(*owner, assigned[*owner]))
            .min_by_key(|owner| assigned[*owner])
        {
            let Some(target) = self.pick_target(owner) else { return };
            self.assign(owner, target, 1);
            assigned[owner] += 1;
        }
    }

    /// Prefers a slot in use by the owner, then one that it holds, then the target with most free
    /// slots.
    fn pick_target(&self, owner: usize) -> Option<usize> {
        let (demand, share) = (&self.owners[owner], &self.shares[owner]);
        let is_used = |target: usize| demand.running[target] > share[target];
        let is_held = |target: usize| demand.held[target] > share[target];
        (0..self.free.len())
            .filter(|target| self.free[*target] > 0)
            .max_by_key(|target| (is_used(*target), is_held(*target), self.free[*target]))
    }

    fn assign(&mut self, owner: usize, target: usize, count: u32) {
        self.free[target] -= count;
        self.shares[owner][target] += count;
    }

    fn rotated_owners(&self) -> Vec<usize> {
        let count = self.owners.len();
        (0..count).map(|index| (index + self.rotation) % count).collect()
    }
}

/// Divides the connections of one target in proportion to each owner's `loads`, with a reserve for
/// those without any; the parts add up to `connections`.
pub fn divide_connections(connections: u32, loads: &[u32], rotation: usize) -> Vec<u32> {
    let count = loads.len() as u32;
    if count == 0 {
        return Vec::new();
    }
    let reserve = u64::from(connections / count / RESERVE_DIVISOR + 1);
    let weights: Vec<u64> = loads.iter().map(|load| u64::from(*load) + reserve).collect();
    let total: u64 = weights.iter().sum();
    let part = |weight: &u64| (u64::from(connections) * weight / total) as u32;
    let mut parts: Vec<u32> = weights.iter().map(part).collect();
    let remainder = connections - parts.iter().sum::<u32>();
    for index in 0..remainder {
        let owner = (index as usize + rotation) % parts.len();
        parts[owner] += 1;
    }
    parts
}
