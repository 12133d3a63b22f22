//! Instances and data centres that may hold a flow for which the owner has no binding.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::binding::SHARD_COUNT;
use crate::collections::HashMap;
use crate::ids::{DataCentreId, FlowHash, InstanceId};
use crate::owner::{bucket_of, score, seed};
use crate::plan::{Plan, ServicePlan};
use crate::view::{Member, MemberState};

/// Largest number of instances of the owner's data centre that are queried for a flow.
pub const MAX_LOCAL_CANDIDATES: usize = 5;
/// Largest number of other data centres that are queried for a flow.
pub const MAX_REMOTE_CANDIDATES: usize = 2;
/// Value in a query's candidate index that marks a query to the data centre that keeps the flow.
pub const LOCATION_INDEX: u8 = u8::MAX;
/// Time without a packet after which the location of a flow is removed.
pub const LOCATION_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Returns the addresses of the instances to query for a flow, in order: first the instances of
/// this data centre that may have owned the flow's bucket before or may own it next, leaving
/// instances included, and then the owners of the bucket in the other available data centres, by
/// the rank of the data centre for the flow.
pub fn candidates(
    plan: &Plan,
    service: &ServicePlan,
    me: &Member,
    hash: FlowHash,
) -> Vec<SocketAddr> {
    let locals = local_candidates(plan, service, me, hash);
    let remotes = service
        .homes
        .ranked(hash)
        .into_iter()
        .filter(|home| home.is_available() && home.data_centre != me.data_centre)
        .filter_map(|home| home.owners.owner(bucket_of(hash)))
        .filter_map(|id| plan.view.get(id));
    locals
        .into_iter()
        .chain(remotes.take(MAX_REMOTE_CANDIDATES))
        .map(|member| member.peer)
        .collect()
}

fn local_candidates<'a>(
    plan: &'a Plan,
    service: &ServicePlan,
    me: &Member,
    hash: FlowHash,
) -> Vec<&'a Member> {
    let bucket = u64::from(bucket_of(hash));
    let may_hold = |member: &&Member| {
        let is_candidate = service.owners().is_some_and(|owners| owners.has_candidate(&member.id));
        is_candidate || member.state == MemberState::Leaving
    };
    let mut scored: Vec<_> = plan
        .view
        .members()
        .iter()
        .filter(|member| member.data_centre == me.data_centre && member.id != me.id)
        .filter(may_hold)
        .map(|member| (score(seed(&service.service, &member.id), bucket), member))
        .collect();
    scored.sort_unstable_by(|a, b| (b.0, &b.1.id).cmp(&(a.0, &a.1.id)));
    scored.into_iter().take(MAX_LOCAL_CANDIDATES).map(|(_, member)| member).collect()
}

/// Returns the address of the instance that owns a flow's bucket in a given data centre, or `None`
/// if that data centre does not serve the service, is out of service, or has no reachable owner.
pub fn owner_address_in(
    plan: &Plan,
    service: &ServicePlan,
    data_centre: &str,
    hash: FlowHash,
) -> Option<SocketAddr> {
    let home = service.homes.get(data_centre).filter(|home| home.is_available())?;
    let owner: &InstanceId = home.owners.owner(bucket_of(hash))?;
    plan.view.get(owner).map(|member| member.peer)
}

#[derive(Debug)]
struct FlowLocation {
    data_centre: DataCentreId,
    last_used: Instant,
}

type Shard = HashMap<FlowHash, FlowLocation>;

/// Locations of the flows that this instance owns by rank and another data centre keeps.
#[derive(Debug)]
pub struct FlowLocations {
    shards: Vec<Mutex<Shard>>,
    capacity: usize,
}

impl FlowLocations {
    /// Creates an empty table for about `capacity` flows; the capacity is divided evenly among the
    /// shards.
    pub fn new(capacity: usize) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::default())).collect();
        Self { shards, capacity: capacity.div_ceil(SHARD_COUNT) }
    }

    /// Records the data centre that keeps a flow. Ignores a new flow if its shard is full.
    pub fn insert(&self, hash: FlowHash, data_centre: &DataCentreId, now: Instant) {
        let mut shard = self.shard(hash).lock();
        if shard.len() < self.capacity || shard.contains_key(&hash) {
            shard.insert(hash, FlowLocation { data_centre: data_centre.clone(), last_used: now });
        }
    }

    /// Returns the data centre that keeps a flow, and restarts the idle timeout of the entry.
    pub fn get(&self, hash: FlowHash, now: Instant) -> Option<DataCentreId> {
        let mut shard = self.shard(hash).lock();
        let location = shard.get_mut(&hash)?;
        location.last_used = now;
        Some(location.data_centre.clone())
    }

    /// Removes the entry of a flow.
    pub fn remove(&self, hash: FlowHash) {
        self.shard(hash).lock().remove(&hash);
    }

    /// Removes the idle entries of one shard.
    pub fn expire(&self, shard: usize, now: Instant) {
        let mut shard = self.shards[shard % SHARD_COUNT].lock();
        shard.retain(|_, location| now < location.last_used + LOCATION_IDLE_TIMEOUT);
    }

    fn shard(&self, hash: FlowHash) -> &Mutex<Shard> {
        &self.shards[hash as usize % SHARD_COUNT]
    }
}
