//! Ownership of flows, and the choice of capacity allocators, by rendezvous hashing.
//!
//! Ownership is a pure function of the membership view and the configuration: instances that agree
//! on both compute the same owners, without an election or stored state.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::ids::{BucketId, DataCentreId, FlowHash, InstanceId};
use crate::view::View;

/// Number of buckets that the flows of a service are divided into; each bucket has one owner.
pub const BUCKET_COUNT: u16 = 4_096;

/// Number of standbys that an owner set lists: the instances that rank next after the owners.
const MAX_STANDBYS: usize = 4;

/// Number of virtual nodes to which the total weight of a service's data centres is scaled down.
/// It bounds the hashing work for each packet; a data centre always has at least one virtual node.
const MAX_VIRTUAL_NODES: usize = 64;

/// Returns the bucket of a flow, from the top 16 bits of its hash. Default tables use the low 32
/// bits, so the target of a flow does not depend on its bucket.
pub fn bucket_of(hash: FlowHash) -> BucketId {
    (hash >> 48) as u16 % BUCKET_COUNT
}

/// Returns the hash of a candidate's name for rendezvous hashing. `subject` is what the candidates
/// are ranked for, such as a service; the same names rank differently for each subject.
pub fn seed(subject: &str, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the rendezvous score of the candidate with the hash `seed` for `item`, such as a bucket
/// or the hash of a flow. The candidate with the highest score wins. The mixing steps are those of
/// SplitMix64.
pub fn score(seed: u64, item: u64) -> u64 {
    let mut mixed = seed ^ item.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the key by which rendezvous hashing ranks the instance `id` among those that compete for
/// `subject`, such as a service: the instance's score for `item`, such as a bucket, then its name
/// to break ties. Callers choose whether the largest or the smallest key ranks first.
pub fn rank_key<'a>(subject: &str, id: &'a str, item: u64) -> (u64, &'a str) {
    (score(seed(subject, id), item), id)
}

/// Returns the instance that allocates the capacity of a service's targets in a data centre, or
/// `None` when the data centre has no eligible instance.
pub fn allocator_of(view: &View, service: &str, data_centre: &str) -> Option<InstanceId> {
    let allocator =
        view.eligible_in(data_centre).max_by_key(|member| rank_key(service, &member.id, u64::MAX));
    allocator.map(|member| member.id.clone())
}

/// Difference between the eligible instances of a data centre in two views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    joined: Vec<InstanceId>,
    left: Vec<InstanceId>,
}

impl MembershipChange {
    /// Compares the eligible instances of a data centre in an earlier and a later view.
    pub fn between(last: &View, next: &View, data_centre: &str) -> Self {
        let ids = |view: &View| -> BTreeSet<InstanceId> {
            view.eligible_in(data_centre).map(|member| member.id.clone()).collect()
        };
        let (last, next) = (ids(last), ids(next));
        let joined = next.difference(&last).cloned().collect();
        Self { joined, left: last.difference(&next).cloned().collect() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    id: InstanceId,
    /// Hash of the instance's name for the service.
    seed: u64,
}

/// Owners of the flows of one service in one data centre: the eligible instances that rank highest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSet {
    owners: Arc<[Candidate]>,
    /// Instances that rank next after the owners, in order. After other instances have joined, these
    /// include former owners.
    standbys: Arc<[Candidate]>,
}

impl OwnerSet {
    /// Ranks the eligible instances of a data centre by their hash for `service`. The first `count`
    /// become owners, and the next `MAX_STANDBYS` become standbys.
    pub fn new(view: &View, service: &str, data_centre: &str, count: usize) -> Self {
        let mut ranked: Vec<_> = view
            .eligible_in(data_centre)
            .map(|member| (seed(service, &member.id), &member.id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let to_candidate = |(seed, id): (u64, &InstanceId)| Candidate { id: id.clone(), seed };
        let mut ranked = ranked.into_iter();
        let owners = ranked.by_ref().take(count).map(to_candidate).collect();
        let standbys = ranked.take(MAX_STANDBYS).map(to_candidate).collect();
        Self { owners, standbys }
    }

    /// Returns whether [`OwnerSet::new`] would return an equal set after a membership change, so that
    /// it need not be called again.
    pub fn is_unaffected_by(&self, change: &MembershipChange, service: &str, count: usize) -> bool {
        let is_full = self.owners.len() >= count && self.standbys.len() >= MAX_STANDBYS;
        let last = self.standbys.last().filter(|_| is_full);
        let ranks_below_all = |id: &InstanceId| {
            last.is_some_and(|last| (seed(service, id), id) < (last.seed, &last.id))
        };
        let has_left = change.left.iter().any(|id| self.has_candidate(id));
        change.joined.iter().all(ranks_below_all) && !has_left
    }

    /// Returns the owners, ordered by their rank for the service.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        self.owners.iter().map(|candidate| &candidate.id)
    }

    /// Returns the number of owners. It is less than the configured number if the data centre has
    /// too few eligible instances.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether there is no owner, because no instance of the data centre is eligible.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns whether an instance is one of the owners.
    pub fn contains(&self, id: &str) -> bool {
        self.owners.iter().any(|candidate| candidate.id == id)
    }

    /// Returns whether an instance is an owner or a standby, that is, may have owned flows of the
    /// service or may own them next.
    pub fn has_candidate(&self, id: &str) -> bool {
        self.owners.iter().chain(self.standbys.iter()).any(|candidate| candidate.id == id)
    }

    /// Returns the owner of a bucket, or `None` when there are no owners.
    pub fn owner(&self, bucket: BucketId) -> Option<&InstanceId> {
        let item = u64::from(bucket);
        let candidate =
            self.owners.iter().max_by_key(|candidate| (score(candidate.seed, item), &candidate.id));
        candidate.map(|candidate| &candidate.id)
    }

    /// Returns the highest-ranked owner for a bucket other than `me`: the instance that takes the
    /// bucket over from `me` or, when `me` does not own the bucket, the bucket's owner.
    pub fn first_other(&self, bucket: BucketId, me: &str) -> Option<&InstanceId> {
        let item = u64::from(bucket);
        let others = self.owners.iter().filter(|candidate| candidate.id != me);
        others
            .max_by_key(|candidate| (score(candidate.seed, item), &candidate.id))
            .map(|candidate| &candidate.id)
    }

    /// Returns the owners in the order in which they take a bucket over: the owner of the bucket,
    /// then the next in rank.
    pub fn ranked(&self, bucket: BucketId) -> Vec<&InstanceId> {
        let item = u64::from(bucket);
        let mut scored: Vec<_> = self
            .owners
            .iter()
            .map(|candidate| (score(candidate.seed, item), &candidate.id))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.into_iter().map(|(_, id)| id).collect()
    }
}

/// Entry of a service for one data centre that serves it.
///
/// Weighted rendezvous hashing assigns each flow of the service to one of these data centres, which
/// is then the home data centre of the flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// Whether operators have the data centre in service.
    pub is_in_service: bool,
    /// Owners of the service's flows in the data centre; empty when none of its instances is
    /// reachable.
    pub owners: OwnerSet,
    /// Whether at least one of the service's targets in the data centre accepts new work.
    pub is_active: bool,
    seed: u64,
    weight: usize,
}

impl Home {
    /// Creates the entry of `service` for a data centre. `weight` is the number of the service's
    /// targets in the data centre, and `active` the number of those that accept new work.
    pub fn new(
        service: &str,
        data_centre: DataCentreId,
        is_in_service: bool,
        owners: OwnerSet,
        weight: usize,
        active: usize,
    ) -> Self {
        let seed = seed(service, &data_centre);
        Self { data_centre, is_in_service, owners, is_active: active > 0, seed, weight }
    }

    /// Returns whether packets can be sent to the data centre: it is in service and has an owner.
    pub fn is_available(&self) -> bool {
        self.is_in_service && !self.owners.is_empty()
    }

    /// Returns whether new flows can be placed in the data centre: it is available and has an
    /// active target.
    pub fn accepts_new_flows(&self) -> bool {
        self.is_available() && self.is_active
    }
}

/// Data centres that serve a service.
///
/// Weighted rendezvous hashing ranks them for each flow. The highest-ranked one is the home data
/// centre of the flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    homes: Vec<Home>,
    weight_divisor: usize,
}

impl Homes {
    /// Creates the set from one entry for each data centre, in any order.
    pub fn new(mut homes: Vec<Home>) -> Self {
        homes.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        let total: usize = homes.iter().map(|home| home.weight).sum();
        let weight_divisor = total.div_ceil(MAX_VIRTUAL_NODES).max(1);
        Self { homes, weight_divisor }
    }

    /// Returns the entries of all data centres, ordered by the name of the data centre.
    pub fn all(&self) -> &[Home] {
        &self.homes
    }

    /// Returns the entry for a data centre, or `None` when that data centre does not serve the
    /// service.
    pub fn get(&self, data_centre: &str) -> Option<&Home> {
        self.homes.iter().find(|home| home.data_centre == data_centre)
    }

    /// Returns the data centre that ranks highest for a flow among those for which `accept` returns
    /// `true`.
    pub fn first(&self, hash: FlowHash, accept: impl Fn(&Home) -> bool) -> Option<&Home> {
        if let [home] = self.homes.as_slice() {
            return accept(home).then_some(home);
        }
        self.homes
            .iter()
            .filter(|home| accept(home))
            .max_by_key(|home| (self.score(home, hash), &home.data_centre))
    }

    /// Returns all data centres in the order of their rank for a flow.
    pub fn ranked(&self, hash: FlowHash) -> Vec<&Home> {
        let mut scored: Vec<_> =
            self.homes.iter().map(|home| (self.score(home, hash), home)).collect();
        scored.sort_unstable_by(|a, b| (b.0, &b.1.data_centre).cmp(&(a.0, &a.1.data_centre)));
        scored.into_iter().map(|(_, home)| home).collect()
    }

    /// Returns the score of a data centre for a flow: the highest score among the data centre's
    /// virtual nodes. Their number is proportional to its weight, rounded down, and at least 1.
    fn score(&self, home: &Home, hash: FlowHash) -> u64 {
        let virtual_nodes = (home.weight / self.weight_divisor).max(1) as u64;
        let best = (0..virtual_nodes).map(|node| score(home.seed.wrapping_add(node), hash)).max();
        best.unwrap_or_default()
    }
}
