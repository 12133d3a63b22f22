//! Rate limit on the new flows that one instance sends to a target in its cold start.
//!
//! The limit applies to the sum over all instances, which have no time to coordinate for each flow.
//! Only the instance that ranks first for a target by rendezvous hashing sends new flows to it, and
//! it uses less than half of the limit: while membership views differ, a second instance may rank
//! itself first.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::InstanceId;
use crate::owner::rank_key;

/// Length of the sliding window in which flows are counted.
pub const WINDOW: Duration = Duration::from_millis(1_050);
/// Share of the limit that the first-ranking instance uses, in percent. Two instances that both
/// rank themselves first stay below 100.
const FIRST_RANK_PERCENT: u32 = 40;

/// Limit on the new flows per second that a cold target gets from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimit {
    /// Factor on the capacity of a cold target, in new flows per second.
    pub multiplier: f64,
    /// New flows per second that are allowed in addition.
    pub slack: u32,
}

impl ColdStartLimit {
    /// Returns the number of new flows that the first-ranking instance may send in each [`WINDOW`]
    /// to a cold target with a capacity of `flows_per_second`.
    pub fn flows_per_window(&self, flows_per_second: u32) -> u32 {
        let scaled = (f64::from(flows_per_second) * self.multiplier) as u32;
        (scaled + self.slack) * FIRST_RANK_PERCENT / 100
    }
}

/// Returns whether the instance `me` ranks first for a target among `members` by rendezvous
/// hashing.
pub fn ranks_first<'a>(
    target: &str,
    me: &str,
    members: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let own_rank = rank_key(target, me, 0);
    members.filter(|member| *member != me).all(|member| rank_key(target, member, 0) < own_rank)
}

/// Sliding-window counter of the new flows that this instance sent to a cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdFlowCounter {
    sent: VecDeque<Instant>,
}

impl ColdFlowCounter {
    /// Returns whether one more flow at `now` stays within `limit` flows per [`WINDOW`].
    pub fn is_below(&self, limit: u32, now: Instant) -> bool {
        let recent = self.sent.iter().filter(|at| now < **at + WINDOW);
        recent.count() < limit as usize
    }

    /// Counts a flow that was sent at `now`.
    pub fn record(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
