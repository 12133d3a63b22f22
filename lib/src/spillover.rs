//! Spillover: decides which data centre gets a new flow, from the room and demand of its service.
//! It makes decisions and does no I/O.
//!
//! Load pattern: the demand of data centres swings out of phase by half, callers move within a
//! second, and a data centre loses most of its targets at once, while the targets of others are
//! idle. A data centre above [`MAX_UTILISATION`] sends the excess of its demand to those below it, in
//! proportion to their free room. Demand is counted where callers are, not where targets are, so
//! that sending flows away does not change the figures that caused it. Every instance decides alone
//! from figures that all of them share.

use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{DataCentreId, FlowHash};
use crate::owner;
use crate::room::ServiceRoom;
use crate::service_demand::Traffic;

/// Utilisation of the slots of a data centre above which new flows go to others. Callers need an
/// answer within a few times the work of a request. Instances place flows without sight of each
/// other, so that the waiting time grows steeply beyond.
pub const MAX_UTILISATION: f64 = 0.6;
/// Utilisation of a data centre from which its demand may soon exceed [`MAX_UTILISATION`].
const NEAR_UTILISATION: f64 = 0.35;
/// Distance above the mean utilisation of all data centres from which flows are sent away while the
/// mean itself is high. It exceeds the errors of the figures.
pub const MEAN_MARGIN: f64 = 0.1;
/// Largest rise of the share per second.
pub const RISE_PER_SECOND: f64 = 1.0;
/// Largest fall of the share per second. It is slow compared with the age of the figures, so that a
/// data centre that returns to normal is not overloaded at once.
pub const FALL_PER_SECOND: f64 = 0.1;
/// Longest time of which a ramp takes account at once, for an instance that was suspended.
const MAX_RAMP_STEP: Duration = Duration::from_secs(1);
/// Least share; a smaller excess stays, since figures vary by more.
const MIN_SHARE: f64 = 0.02;
/// Largest gain of the correction for long flows.
const MAX_GAIN: f64 = 3.0;
/// Salts that yield independent decisions from the hash of one flow.
const SPILL_SALT: u64 = 1;
const DESTINATION_SALT: u64 = 2;

/// Share of a data centre's demand that the targets of others serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillPlan {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Largest share that the free room can take besides the excess of others.
    pub max_share: f64,
    /// Data centres with free room, with the free slots of each, ordered by name.
    pub destinations: Vec<(DataCentreId, f64)>,
}

/// Load of one data centre, in slots.
struct Load<'a> {
    data_centre: &'a DataCentreId,
    slots: f64,
    busy: f64,
}

/// Returns whether the demand of a data centre is near the limit above which it spills over. One
/// without slots does not count: its demand always goes to others, whose limits decide.
pub fn is_near_limit(room: &ServiceRoom) -> bool {
    let Some(work) = room.work else { return false };
    room.data_centres.iter().any(|it| {
        let busy = it.demand.unwrap_or_default().requests_per_second * work.as_secs_f64();
        it.slots > 0 && busy > f64::from(it.slots) * NEAR_UTILISATION
    })
}

/// Returns which share of the demand of `local` goes to other data centres: all of it if `local` has
/// no slots. `None` if the figures of `local` are missing or there are no slots at all: then the load
/// that this instance sees decides. Data centres whose figures are missing get no share.
pub fn plan(room: &ServiceRoom, local: &str) -> Option<SpillPlan> {
    let work = room.work?.as_secs_f64();
    let known = room.data_centres.iter().filter_map(|it| {
        let busy = it.demand?.requests_per_second * work;
        Some(Load { data_centre: &it.data_centre, slots: f64::from(it.slots), busy })
    });
    let loads: Vec<_> = known.collect();
    let own = loads.iter().find(|it| it.data_centre == local)?;
    if loads.iter().all(|it| it.slots == 0.0) {
        return None;
    }
    let limit = utilisation_limit(&loads);
    let free = |it: &Load<'_>| it.slots * limit - it.busy;
    let others = || loads.iter().filter(|it| it.data_centre != local);
    let destinations = others().filter(|it| free(it) > 0.0);
    let destinations: Vec<_> = destinations.map(|it| (it.data_centre.clone(), free(it))).collect();
    let share_of = |slots: f64| {
        if own.slots == 0.0 {
            1.0
        } else if own.busy > 0.0 {
            (slots / own.busy).clamp(0.0, 1.0)
        } else {
            0.0
        }
    };
    let share = share_of(-free(own));
    let is_sent = share >= MIN_SHARE && !destinations.is_empty();
    Some(SpillPlan {
        share: if is_sent { share } else { 0.0 },
        max_share: share_of(others().map(free).sum()),
        destinations,
    })
}

/// Returns the utilisation above which data centres send flows away. Above the mean, so that the
/// room below the limit always holds the excess above it, and no data centre does both.
fn utilisation_limit(loads: &[Load<'_>]) -> f64 {
    let slots: f64 = loads.iter().map(|it| it.slots).sum();
    let busy: f64 = loads.iter().map(|it| it.busy).sum();
    (busy / slots + MEAN_MARGIN).max(MAX_UTILISATION)
}

/// Spillover of one service at one instance: follows the plan by a ramp.
#[derive(Clone, Debug, Default)]
pub struct Spillover {
    /// Share of the requests that the ramp has reached.
    share: f64,
    /// Share of new flows, which differs from `share` while flows are long.
    share_of_openings: f64,
    destinations: Vec<(DataCentreId, f64)>,
    updated_at: Option<Instant>,
}

impl Spillover {
    /// Returns the share of the requests that is to go to other data centres.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the part of [`Self::share`] that each data centre gets.
    pub fn shares(&self) -> impl Iterator<Item = (&DataCentreId, f64)> {
        let total: f64 = self.destinations.iter().map(|(_, free)| free).sum();
        self.destinations.iter().map(move |(name, free)| (name, self.share * free / total))
    }

    /// Follows a plan. `traffic` is the traffic of the service at this instance.
    pub fn update(&mut self, plan: Option<SpillPlan>, traffic: Traffic, now: Instant) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let elapsed = elapsed.min(MAX_RAMP_STEP).as_secs_f64();
        self.updated_at = Some(now);
        let plan = plan.unwrap_or_default();
        let lowest = (self.share - FALL_PER_SECOND * elapsed).max(0.0);
        let ramped = plan.share.clamp(lowest, self.share + RISE_PER_SECOND * elapsed);
        let (destinations, max_share) = if ramped > plan.share {
            self.kept_destinations(&plan)
        } else {
            (plan.destinations, plan.max_share)
        };
        // The bound holds also while the ramp falls: a data centre that needs its room now does not
        // get flows from one that needed it before.
        self.share = ramped.min(max_share);
        self.destinations = destinations;
        self.share_of_openings = share_of_openings(self.share, traffic);
    }

    /// Returns the former destinations that a plan still lists, and the largest share in proportion
    /// to their part of the free room. Flows go to no others while the share falls, so that two data
    /// centres which return to normal together do not send to each other.
    fn kept_destinations(&self, plan: &SpillPlan) -> (Vec<(DataCentreId, f64)>, f64) {
        let is_kept = |name: &DataCentreId| self.destinations.iter().any(|(it, _)| it == name);
        let kept = plan.destinations.iter().filter(|(name, _)| is_kept(name));
        let kept: Vec<_> = kept.cloned().collect();
        let room = |list: &[(DataCentreId, f64)]| list.iter().map(|(_, free)| free).sum::<f64>();
        if kept.is_empty() {
            return (kept, 0.0);
        }
        let max_share = plan.max_share * room(&kept) / room(&plan.destinations);
        (kept, max_share)
    }

    /// Returns the data centre that a new flow is sent to; `None` if it stays in its own. Flows of
    /// equal hash are decided alike, and a rising share only adds flows.
    pub fn destination(&self, hash: FlowHash) -> Option<&DataCentreId> {
        if unit(hash, SPILL_SALT) >= self.share_of_openings {
            return None;
        }
        let total: f64 = self.destinations.iter().map(|(_, free)| free).sum();
        let mut point = unit(hash, DESTINATION_SALT) * total;
        for (data_centre, free) in &self.destinations {
            if point < *free {
                return Some(data_centre);
            }
            point -= free;
        }
        self.destinations.last().map(|(data_centre, _)| data_centre)
    }
}

/// Returns the share of new flows by which the share of requests approaches `share`. Requests of
/// long flows stay where the flows were opened, so that the requests of new flows are few; the
/// correction shortens the time that they need in proportion to the requests of a flow. For flows of
/// one request there is none.
fn share_of_openings(share: f64, traffic: Traffic) -> f64 {
    if share == 0.0 || traffic.requests == 0.0 {
        return share;
    }
    let gain = (traffic.requests / traffic.openings - 1.0).clamp(0.0, MAX_GAIN);
    let remote_share = traffic.remote_requests / traffic.requests;
    (share + gain * (share - remote_share)).clamp(0.0, 1.0)
}

/// Returns a number from 0 to 1 that depends on the hash of a flow.
fn unit(hash: FlowHash, salt: u64) -> f64 {
    const UNITS: u64 = 1 << 53;
    (owner::score(hash, salt) % UNITS) as f64 / UNITS as f64
}
