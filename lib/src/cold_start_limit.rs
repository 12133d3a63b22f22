//! Share of a cold target's new flows that one instance may send.
//!
//! The bound holds for the sum over all instances, which cannot ask each other in time. So only the
//! instances that rank first for a target send it anything, each a part of the bound that leaves
//! room for a second view of who ranks first.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::InstanceId;
use crate::owner::place;

/// Span of time that the bound holds for.
pub const WINDOW: Duration = Duration::from_millis(1_050);
/// Part of the bound that the instance ranking first uses, in percent; two views stay below 100.
const FIRST_PERCENT: u32 = 40;

/// Bound of the new flows that a cold target gets from all instances in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimit {
    /// Factor on what the target says that it bears.
    pub multiplier: f64,
    /// Flows that may come on top.
    pub slack: u32,
}

impl ColdStartLimit {
    /// Returns the new flows that the first-ranking instance sends in each [`WINDOW`].
    pub fn flows_per_window(&self, flows_per_second: u32) -> u32 {
        let borne = (f64::from(flows_per_second) * self.multiplier) as u32;
        (borne + self.slack) * FIRST_PERCENT / 100
    }
}

/// Tells whether an instance ranks first for a cold target among `members`.
pub fn ranks_first<'a>(
    target: &str,
    me: &str,
    members: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let mine = place(target, me, 0);
    members.filter(|member| *member != me).all(|member| place(target, member, 0) < mine)
}

/// New flows that were sent to a cold target lately.
#[derive(Clone, Debug, Default)]
pub struct ColdFlowCounter {
    sent: VecDeque<Instant>,
}

impl ColdFlowCounter {
    /// Tells whether one more flow stays within `share`.
    pub fn has_room(&self, share: u32, now: Instant) -> bool {
        let recent = self.sent.iter().filter(|at| now < **at + WINDOW);
        recent.count() < share as usize
    }

    /// Counts a flow.
    pub fn record(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
