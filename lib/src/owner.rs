//! Ownership of flows and targets, derived from the view by rendezvous hashing.
//!
//! Nothing is elected and nothing is stored: two instances with the same view and the same
//! configuration compute the same owners.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::ids::{BucketId, DataCentreId, FlowHash, InstanceId};
use crate::view::View;

/// Number of buckets that the flows of a service are divided into.
pub const BUCKET_COUNT: u16 = 4_096;

/// Number of instances after the owners that a set of owners names.
const MAX_STANDBYS: usize = 4;

/// Largest sum of the weights that the data centres of a service are ranked by.
const MAX_HOME_WEIGHT: usize = 64;

/// Returns the bucket of a flow.
pub fn bucket_of(hash: FlowHash) -> BucketId {
    (hash >> 48) as u16 % BUCKET_COUNT
}

/// Returns the digest that a name takes part in rendezvous hashing with.
pub fn seed(subject: &str, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Mixes a seed with a number into a rendezvous score.
pub fn score(seed: u64, number: u64) -> u64 {
    let mut mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the place of an instance among all for a subject: the score of a number, then the name.
pub fn rank_key<'a>(subject: &str, id: &'a str, number: u64) -> (u64, &'a str) {
    (score(seed(subject, id), number), id)
}

/// Returns the instance of a data centre that allocates the capacity of a service's targets there,
/// or `None` when the data centre has no live instance.
pub fn allocator_of(view: &View, service: &str, data_centre: &str) -> Option<InstanceId> {
    let allocator =
        view.eligible_in(data_centre).max_by_key(|member| rank_key(service, &member.id, u64::MAX));
    allocator.map(|member| member.id.clone())
}

/// How the eligible instances of a data centre differ between two views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    joined: Vec<InstanceId>,
    left: Vec<InstanceId>,
}

impl MembershipChange {
    /// Compares two views.
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
    seed: u64,
}

/// The owners of the flows of one service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSet {
    owners: Arc<[Candidate]>,
    /// The next ones in order, among them those that owned flows until others joined.
    standbys: Arc<[Candidate]>,
}

impl OwnerSet {
    /// Chooses at most `count` owners of `service` among the eligible instances of a data centre.
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

    /// Tells whether [`OwnerSet::new`] chooses the same owners again after a change of members.
    pub fn is_unaffected_by(&self, change: &MembershipChange, service: &str, count: usize) -> bool {
        let is_full = self.owners.len() >= count && self.standbys.len() >= MAX_STANDBYS;
        let last = self.standbys.last().filter(|_| is_full);
        let is_passed = |id: &InstanceId| {
            last.is_some_and(|last| (seed(service, id), id) < (last.seed, &last.id))
        };
        let has_left = change.left.iter().any(|id| self.has_candidate(id));
        change.joined.iter().all(is_passed) && !has_left
    }

    /// Returns the owners.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        self.owners.iter().map(|candidate| &candidate.id)
    }

    /// Returns the number of owners.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Tells whether there is no owner.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Tells whether an instance is one of the owners.
    pub fn contains(&self, id: &str) -> bool {
        self.owners.iter().any(|candidate| candidate.id == id)
    }

    /// Tells whether an instance is one of the owners, or next to become one.
    pub fn has_candidate(&self, id: &str) -> bool {
        self.owners.iter().chain(self.standbys.iter()).any(|candidate| candidate.id == id)
    }

    /// Returns the owner of a bucket.
    pub fn owner(&self, bucket: BucketId) -> Option<&InstanceId> {
        let number = u64::from(bucket);
        let candidate = self
            .owners
            .iter()
            .max_by_key(|candidate| (score(candidate.seed, number), &candidate.id));
        candidate.map(|candidate| &candidate.id)
    }

    /// Returns the first owner of a bucket in rank that is not `me`: who takes the bucket over from
    /// `me`, or who owns it when `me` does not.
    pub fn first_other(&self, bucket: BucketId, me: &str) -> Option<&InstanceId> {
        let number = u64::from(bucket);
        let others = self.owners.iter().filter(|candidate| candidate.id != me);
        others
            .max_by_key(|candidate| (score(candidate.seed, number), &candidate.id))
            .map(|candidate| &candidate.id)
    }

    /// Returns the owners in the order in which they take a bucket over: the owner, the backup,
    /// and the others.
    pub fn ranked(&self, bucket: BucketId) -> Vec<&InstanceId> {
        let number = u64::from(bucket);
        let mut scored: Vec<_> = self
            .owners
            .iter()
            .map(|candidate| (score(candidate.seed, number), &candidate.id))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.into_iter().map(|(_, id)| id).collect()
    }
}

/// One data centre that serves a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether operators have it in service.
    pub is_in_service: bool,
    /// Its owners of the service; empty when none of its instances is reachable.
    pub owners: OwnerSet,
    /// Whether some of its targets take new work.
    pub is_active: bool,
    seed: u64,
    weight: usize,
}

impl Home {
    /// Creates a home; `weight` is the number of its targets, and `active` of those that take new
    /// work.
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

    /// Tells whether packets may go there.
    pub fn is_available(&self) -> bool {
        self.is_in_service && !self.owners.is_empty()
    }

    /// Tells whether new flows may go there.
    pub fn takes_new(&self) -> bool {
        self.is_available() && self.is_active
    }
}

/// The data centres of a service, among which each flow has a home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    homes: Vec<Home>,
    divisor: usize,
}

impl Homes {
    /// Creates the set of homes.
    pub fn new(mut homes: Vec<Home>) -> Self {
        homes.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        let total: usize = homes.iter().map(|home| home.weight).sum();
        let divisor = total.div_ceil(MAX_HOME_WEIGHT).max(1);
        Self { homes, divisor }
    }

    /// Returns all homes.
    pub fn all(&self) -> &[Home] {
        &self.homes
    }

    /// Returns the home in a data centre.
    pub fn get(&self, data_centre: &str) -> Option<&Home> {
        self.homes.iter().find(|home| home.data_centre == data_centre)
    }

    /// Returns the home of a flow among those that `accept` takes.
    pub fn first(&self, hash: FlowHash, accept: impl Fn(&Home) -> bool) -> Option<&Home> {
        if let [home] = self.homes.as_slice() {
            return accept(home).then_some(home);
        }
        self.homes
            .iter()
            .filter(|home| accept(home))
            .max_by_key(|home| (self.score(home, hash), &home.data_centre))
    }

    /// Returns the homes of a flow in order of preference.
    pub fn ranked(&self, hash: FlowHash) -> Vec<&Home> {
        let mut scored: Vec<_> =
            self.homes.iter().map(|home| (self.score(home, hash), home)).collect();
        scored.sort_unstable_by(|a, b| (b.0, &b.1.data_centre).cmp(&(a.0, &a.1.data_centre)));
        scored.into_iter().map(|(_, home)| home).collect()
    }

    fn score(&self, home: &Home, hash: FlowHash) -> u64 {
        let copies = (home.weight / self.divisor).max(1) as u64;
        let best = (0..copies).map(|copy| score(home.seed.wrapping_add(copy), hash)).max();
        best.unwrap_or_default()
    }
}
