//! Who may know a flow that its owner does not know.

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

/// Largest number of instances of the same data centre that are asked.
pub const LOCAL_CANDIDATES: usize = 5;
/// Largest number of other data centres that are asked.
pub const REMOTE_CANDIDATES: usize = 2;
/// Place in a chain by which the data centre that is known to keep a flow is asked.
pub const LOCATION_INDEX: u8 = u8::MAX;
/// Silence after which it is forgotten which data centre keeps a flow.
pub const LOCATION_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Returns the instances to ask for a flow, in order: those of this data centre that owned the
/// bucket or would own it next, leaving ones included, and the owners in the next data centres.
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
    locals.into_iter().chain(remotes.take(REMOTE_CANDIDATES)).map(|member| member.peer).collect()
}

fn local_candidates<'a>(
    plan: &'a Plan,
    service: &ServicePlan,
    me: &Member,
    hash: FlowHash,
) -> Vec<&'a Member> {
    let bucket = u64::from(bucket_of(hash));
    let takes_part = |member: &&Member| {
        let is_candidate = service.owners().is_some_and(|owners| owners.has_candidate(&member.id));
        is_candidate || member.state == MemberState::Leaving
    };
    let mut scored: Vec<_> = plan
        .view
        .members()
        .iter()
        .filter(|member| member.data_centre == me.data_centre && member.id != me.id)
        .filter(takes_part)
        .map(|member| (score(seed(&service.service, &member.id), bucket), member))
        .collect();
    scored.sort_unstable_by(|a, b| (b.0, &b.1.id).cmp(&(a.0, &a.1.id)));
    scored.into_iter().take(LOCAL_CANDIDATES).map(|(_, member)| member).collect()
}

/// Returns where the owner of a flow in another data centre takes messages.
pub fn owner_in(
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
    used: Instant,
}

type Shard = HashMap<FlowHash, FlowLocation>;

/// Which data centre keeps a flow that this instance owns by rank.
#[derive(Debug)]
pub struct FlowLocations {
    shards: Vec<Mutex<Shard>>,
    capacity: usize,
}

impl FlowLocations {
    /// Creates an empty table of at most about `capacity` flows.
    pub fn new(capacity: usize) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::default())).collect();
        Self { shards, capacity: capacity.div_ceil(SHARD_COUNT) }
    }

    /// Notes the data centre of a flow; forgets nothing to make room.
    pub fn insert(&self, hash: FlowHash, data_centre: &DataCentreId, now: Instant) {
        let mut shard = self.shard(hash).lock();
        if shard.len() < self.capacity || shard.contains_key(&hash) {
            shard.insert(hash, FlowLocation { data_centre: data_centre.clone(), used: now });
        }
    }

    /// Returns the data centre of a flow.
    pub fn get(&self, hash: FlowHash, now: Instant) -> Option<DataCentreId> {
        let mut shard = self.shard(hash).lock();
        let location = shard.get_mut(&hash)?;
        location.used = now;
        Some(location.data_centre.clone())
    }

    /// Forgets a flow.
    pub fn remove(&self, hash: FlowHash) {
        self.shard(hash).lock().remove(&hash);
    }

    /// Forgets idle flows of one shard.
    pub fn expire(&self, shard: usize, now: Instant) {
        let mut shard = self.shards[shard % SHARD_COUNT].lock();
        shard.retain(|_, location| now < location.used + LOCATION_IDLE_TIMEOUT);
    }

    fn shard(&self, hash: FlowHash) -> &Mutex<Shard> {
        &self.shards[hash as usize % SHARD_COUNT]
    }
}
