//! Paces large messages between instances, so that the link keeps capacity for the traffic of
//! callers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use crate::byte_budget::ByteBudget;

/// Divisor that gives the rate of large messages from the link's rate.
const LINK_RATE_DIVISOR: u64 = 2;
/// Divisor that gives the burst size from the bytes sent per second.
const BURST_DIVISOR: u64 = 20;
/// Maximum size of the queue, in bytes. Beyond it the link is far behind, and the receivers request
/// the dropped messages again.
pub const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Send queue of datagrams, drained at a limited rate.
#[derive(Debug)]
pub struct PacedSender {
    queue: VecDeque<(SocketAddr, Arc<[u8]>)>,
    queued_bytes: usize,
    budget: ByteBudget,
}

impl PacedSender {
    /// Creates a sender for a link of `link_mbps` megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        let rate = rate(link_mbps);
        let budget = ByteBudget::new(rate, (rate / BURST_DIVISOR).max(1));
        Self { queue: VecDeque::new(), queued_bytes: 0, budget }
    }

    /// Changes the speed of the link, in megabits per second.
    pub fn set_link_mbps(&mut self, link_mbps: f64) {
        self.budget.set_rate(rate(link_mbps));
    }

    /// Queues a datagram. Returns `false`, and drops the datagram, if the queue would exceed
    /// [`MAX_QUEUED_BYTES`].
    pub fn push(&mut self, to: SocketAddr, buf: Arc<[u8]>) -> bool {
        if self.queued_bytes + buf.len() > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes += buf.len();
        self.queue.push_back((to, buf));
        true
    }

    /// Removes and returns the datagrams that the rate limit allows to be sent now.
    pub fn take_due(&mut self, now: Instant) -> Vec<(SocketAddr, Arc<[u8]>)> {
        let mut due = Vec::new();
        while !self.queue.is_empty() && self.budget.has_available_bytes(now) {
            let Some((to, buf)) = self.queue.pop_front() else { break };
            self.queued_bytes -= buf.len();
            self.budget.spend(buf.len() as u64);
            due.push((to, buf));
        }
        due
    }
}

/// Returns the rate of large messages on a link, in bytes per second.
fn rate(link_mbps: f64) -> u64 {
    ((link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE) as u64 / LINK_RATE_DIVISOR).max(1)
}
