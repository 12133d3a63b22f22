//! Load balancing: chooses the target of a new flow.
//!
//! Requests queue inside the targets, so a flow goes to the target with the fewest running requests
//! per slot. Targets in the instance's own data centre are preferred while their load is below
//! [`SPILLOVER_LOAD_PER_MILLE`], and suspected targets get flows only when no healthy one is left.
//! Equally loaded targets are chosen round robin.
//! A flow without an eligible target is refused at once.

use crate::ids::DataCentreId;

/// Load of the best local target, in running requests per thousand slots, from which less loaded
/// targets in other data centres are preferred.
pub const SPILLOVER_LOAD_PER_MILLE: u32 = 1_500;

/// Health of a target, ordered from the most to the least preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthRank {
    /// Answers, as far as is known.
    Healthy,
    /// Showed a failure recently, but is not known to be down.
    Suspected,
    /// Failed its health check or was reported down; never chosen.
    Down,
}

/// Target that a new flow may be assigned to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Index of the target in the target table.
    pub index: usize,
    /// Data centre that the target runs in.
    pub data_centre: &'a DataCentreId,
    /// Health, which takes precedence over load.
    pub health: HealthRank,
    /// Running requests per thousand slots of the target.
    pub load_per_mille: u32,
    /// Number of rounds of its data centre after which the target is next; see
    /// [`crate::round_robin`]. The lower number breaks ties of load.
    pub round: u64,
    /// Position of the target within a round, different at each instance.
    pub position: u64,
}

/// Returns the index of the best candidate, or `None` when every candidate is down.
pub fn choose_target<'a>(
    local: &DataCentreId,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<usize> {
    let mut best_local: Option<Candidate<'a>> = None;
    let mut best_remote: Option<Candidate<'a>> = None;
    for candidate in candidates.filter(|candidate| candidate.health != HealthRank::Down) {
        let best = if candidate.data_centre == local { &mut best_local } else { &mut best_remote };
        if best.is_none_or(|best| rank(&candidate) < rank(&best)) {
            *best = Some(candidate);
        }
    }
    match (best_local, best_remote) {
        (Some(local), Some(remote)) if prefers_remote(&remote, &local) => Some(remote.index),
        (Some(local), _) => Some(local.index),
        (None, remote) => remote.map(|remote| remote.index),
    }
}

fn rank(candidate: &Candidate<'_>) -> (HealthRank, u32, u64, u64) {
    (candidate.health, candidate.load_per_mille, candidate.round, candidate.position)
}

/// Returns whether the best remote target is preferable to the best local one.
fn prefers_remote(remote: &Candidate<'_>, local: &Candidate<'_>) -> bool {
    let spills_over = local.load_per_mille >= SPILLOVER_LOAD_PER_MILLE
        && remote.load_per_mille < local.load_per_mille;
    remote.health < local.health || (remote.health == local.health && spills_over)
}
