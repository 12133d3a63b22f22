//! Queue of flows to reset, drained at a limited rate.
//!
//! Load pattern: a target with thousands of waiting flows ends. Resets that left all at once would
//! delay the packets of other callers on the instance's link. The flow that has waited longest is
//! reset first, since its caller has the least time left to repeat the request.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::segment::FlowEnds;

/// Maximum rate of resets.
pub const MAX_RESETS_PER_SECOND: u64 = 10_000;
/// Bytes that a reset takes on the link, headers of lower layers included.
const RESET_WIRE_BYTES: u64 = 60;
const MAX_BYTES_PER_SECOND: u64 = MAX_RESETS_PER_SECOND * RESET_WIRE_BYTES;
/// Divisor that gives the rate of resets from the link's rate, so that the link keeps most of its
/// capacity for packets.
const LINK_RATE_DIVISOR: u64 = 4;
/// Divisor that gives the burst from the resets per second.
const BURST_DIVISOR: u64 = 20;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Flow that is to be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedReset {
    /// Endpoints of the flow.
    pub ends: FlowEnds,
    /// Time since which the flow's caller waits.
    pub since: Instant,
    /// Index of the target that has ended.
    pub target: usize,
}

/// Queue of flows to reset. A flow stays in it until its turn comes, even if it stops waiting
/// meanwhile, so the receiver checks each one.
#[derive(Debug)]
pub struct ResetQueue {
    queue: BTreeMap<(Instant, FlowEnds), usize>,
    budget: ByteBudget,
}

impl Default for ResetQueue {
    fn default() -> Self {
        let rate = MAX_BYTES_PER_SECOND;
        Self { queue: BTreeMap::new(), budget: ByteBudget::new(rate, rate / BURST_DIVISOR) }
    }
}

impl ResetQueue {
    /// Sets the speed of the instance's link, in megabits per second.
    pub fn set_link_mbps(&mut self, link_mbps: f64) {
        let link_rate = (link_mbps * BYTES_PER_MEGABIT) as u64 / LINK_RATE_DIVISOR;
        self.budget.set_rate(link_rate.clamp(RESET_WIRE_BYTES, MAX_BYTES_PER_SECOND));
    }

    /// Adds a flow. A flow that is in the queue already is not added again.
    pub fn push(&mut self, reset: QueuedReset) {
        self.queue.insert((reset.since, reset.ends), reset.target);
    }

    /// Removes and returns the flow that has waited longest, if the rate allows a reset now.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedReset> {
        if self.queue.is_empty() || !self.budget.has_available_bytes(now) {
            return None;
        }
        let ((since, ends), target) = self.queue.pop_first()?;
        Some(QueuedReset { ends, since, target })
    }

    /// Counts a sent reset against the rate.
    pub fn record_sent(&mut self) {
        self.budget.spend(RESET_WIRE_BYTES);
    }

    /// Returns the number of queued flows.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no flow is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
