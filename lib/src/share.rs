//! Division of the targets' capacity among the owners of their service.

/// Divisor of an owner's even share of the connections. The quotient, plus one, is added to the
/// owner's load, so that an owner without load receives connections too.
const RESERVE_DIVISOR: u32 = 4;

/// Fraction of a capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fraction {
    /// Number of equal parts that the fraction covers; a value above `denominator` counts as the
    /// whole.
    pub numerator: u64,
    /// Number of equal parts in the whole; not zero.
    pub denominator: u64,
}

impl Fraction {
    /// Returns this fraction of `capacity` in whole units.
    ///
    /// Rounds up for a majority and down for every other fraction, so that the results of disjoint
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

/// One owner's use of, and demand for, the slots of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotDemand {
    /// Running requests, indexed by target.
    pub running: Vec<u32>,
    /// Slots of the grants in force, indexed by target.
    pub held: Vec<u32>,
    /// Requests that are queued for a slot of any target.
    pub waiting: u32,
}

struct SlotDistributor<'a> {
    free: Vec<u32>,
    owners: &'a [SlotDemand],
    shares: Vec<Vec<u32>>,
    rotation: usize,
}

/// Divides the slots of a service's targets among the owners; returns the number of slots indexed
/// by owner, then by target.
///
/// Owners with running or queued requests receive slots evenly up to their demand, preferably on
/// targets where they have requests running. The remaining slots are divided evenly among all
/// owners, so that new requests find a slot. `rotation`, modulo the number of owners, is the index
/// of the owner that comes first.
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
    /// Assigns one slot at a time to the owner with the fewest slots among those that `wants`
    /// selects by their index and number of slots.
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

    /// Returns the target of the owner's next slot: preferably one where it has more requests
    /// running than slots assigned, then one where it holds more slots than assigned, then the one
    /// with the most free slots.
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

/// Divides the connections of one target among the owners in proportion to their `loads`. Each load
/// is raised by a reserve, so that owners without load receive some connections too. The results
/// add up to `connections`.
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
