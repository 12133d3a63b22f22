//! Chooses the target of a new flow.
//!
//! Work waits inside the targets, so a flow goes where the fewest requests are running for its
//! slots, in the instance's own data centre while that has room, and never to a target that is
//! believed silent while another is there. When nothing can serve it, it is refused at once.

use crate::ids::DataCentreId;

/// Load of the own data centre's best target, in requests for each thousand slots, from which
/// targets of other data centres are considered.
pub const SPILL_LOAD: u32 = 1_500;

/// How far a target can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthRank {
    /// Answers and takes new flows.
    Healthy,
    /// Showed signs of silence.
    Suspected,
    /// Failed its health check.
    Down,
}

/// A target that a new flow may go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Number of the target.
    pub index: usize,
    /// Data centre of the target.
    pub data_centre: &'a DataCentreId,
    /// How far it can be relied on.
    pub health: HealthRank,
    /// Requests at the target for each thousand of its slots.
    pub load_per_mille: u32,
    /// Number of new flows that this instance has sent there, which breaks ties.
    pub sent_flows: u64,
}

/// Chooses a target, or `None` when no candidate can serve.
pub fn choose_target<'a>(
    home: &DataCentreId,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<usize> {
    let mut best_home: Option<Candidate<'a>> = None;
    let mut best_other: Option<Candidate<'a>> = None;
    for candidate in candidates.filter(|candidate| candidate.health != HealthRank::Down) {
        let best = if candidate.data_centre == home { &mut best_home } else { &mut best_other };
        if best.is_none_or(|best| rank(&candidate) < rank(&best)) {
            *best = Some(candidate);
        }
    }
    match (best_home, best_other) {
        (Some(home), Some(other)) if is_better(&other, &home) => Some(other.index),
        (Some(home), _) => Some(home.index),
        (None, other) => other.map(|other| other.index),
    }
}

fn rank(candidate: &Candidate<'_>) -> (HealthRank, u32, u64) {
    (candidate.health, candidate.load_per_mille, candidate.sent_flows)
}

/// Tells whether a target elsewhere is better than the best one at home.
fn is_better(other: &Candidate<'_>, home: &Candidate<'_>) -> bool {
    let is_full = home.load_per_mille >= SPILL_LOAD && other.load_per_mille < home.load_per_mille;
    other.health < home.health || (other.health == home.health && is_full)
}
