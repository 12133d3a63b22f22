//! Round robin over the equally loaded targets of a service.
//!
//! Load pattern: many instances place flows at the same time and cannot see each other's flows. After
//! a restart of the whole fleet all of them have equal counts, and a new target has a count of zero
//! everywhere. A rule that takes the target with the fewest flows so far, and then the first in the
//! table, sends the next flow of every instance to the same target, and sends every flow to a new
//! target until its count has caught up. So a target that is behind joins the current round, and each
//! instance has its own order within a round.

use crate::ids::InstanceId;
use crate::owner;

/// Current round of the targets of one service in one data centre, at one instance. Each data centre
/// has its own, so that the few flows that go to others are spread over the targets there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundRobin {
    current: u64,
}

impl RoundRobin {
    /// Returns the round in which a target is next. `round` is the one that
    /// [`RoundRobin::record`] returned for it last, or 0.
    pub fn next_round(&self, round: u64) -> u64 {
        round.max(self.current)
    }

    /// Returns how many rounds after the current one a target is next. Targets of different rounds
    /// compare by it.
    pub fn rounds_ahead(&self, round: u64) -> u64 {
        self.next_round(round) - self.current
    }

    /// Records that a target gets a new flow, and returns the round after it.
    pub fn record(&mut self, round: u64) -> u64 {
        self.record_spaced(round, 1)
    }

    /// Records that a target gets a new flow which is its only one in `rounds` rounds, and returns
    /// the round in which it is next.
    pub fn record_spaced(&mut self, round: u64, rounds: u64) -> u64 {
        self.current = self.next_round(round);
        self.current + rounds
    }

    /// Returns the round in which a target is next after the number of rounds for each of its flows
    /// changed from `old` to `new`. `round` is the one in which it was next. Instances differ by
    /// `position`, so that the change takes effect within the current round and the target's flows
    /// do not come from all instances in the same one.
    pub fn respaced(&self, round: u64, position: u64, old: u64, new: u64) -> u64 {
        let delay = position % new.max(1);
        if new > old {
            self.next_round(round) + delay
        } else {
            round.min(self.current + 1 + delay)
        }
    }
}

/// Returns the position of a target within a round at one instance. Positions are evenly distributed
/// and differ between instances.
pub fn position(instance: &InstanceId, target: &str) -> u64 {
    owner::seed(instance, target)
}
