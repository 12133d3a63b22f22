//! Sends large messages between instances at a rate that leaves room on the link for callers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use crate::byte_budget::ByteBudget;

/// Part of the link that large messages may use: one in this many bytes.
const LINK_RATE_DIVISOR: u64 = 2;
/// Bytes that may be sent at once, as a part of what is sent in a second.
const BURST_DIVISOR: u64 = 20;
/// Bytes that wait at most; the link is far behind by then, and receivers ask again.
pub const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Datagrams that wait for their turn.
#[derive(Debug)]
pub struct PacedSender {
    queue: VecDeque<(SocketAddr, Arc<[u8]>)>,
    queued_bytes: usize,
    budget: ByteBudget,
}

impl PacedSender {
    /// Creates a sender for a link of `link_mbps` megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let rate = rate(link_mbps);
        let budget = ByteBudget::new(rate, (rate / BURST_DIVISOR).max(1));
        Self { queue: VecDeque::new(), queued_bytes: 0, budget }
    }

    /// Takes another speed of the link, in megabits a second.
    pub fn set_link_mbps(&mut self, link_mbps: f64) {
        self.budget.set_rate(rate(link_mbps));
    }

    /// Adds a datagram, and tells whether there was room for it.
    pub fn push(&mut self, to: SocketAddr, buf: Arc<[u8]>) -> bool {
        if self.queued_bytes + buf.len() > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes += buf.len();
        self.queue.push_back((to, buf));
        true
    }

    /// Returns the datagrams whose turn it is.
    pub fn take_due(&mut self, now: Instant) -> Vec<(SocketAddr, Arc<[u8]>)> {
        let mut due = Vec::new();
        while !self.queue.is_empty() && self.budget.has_room(now) {
            let Some((to, buf)) = self.queue.pop_front() else { break };
            self.queued_bytes -= buf.len();
            self.budget.spend(buf.len() as u64);
            due.push((to, buf));
        }
        due
    }
}

/// Returns the bytes a second that large messages may use of a link.
fn rate(link_mbps: f64) -> u64 {
    ((link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE) as u64 / LINK_RATE_DIVISOR).max(1)
}
