//! Progress of connections to backend servers, by which a stalled connection is told apart from an
//! unresponsive address.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::collections::HashMap;

/// Extent of a stall, judged when a request got no response in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallScope {
    /// Only this connection stalled: the address has sent response bytes on another one since the
    /// request was sent.
    Connection,
    /// The address is unresponsive: it has sent nothing on any connection since the request was
    /// sent.
    Address,
}

/// Time of the last response bytes from each address.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    last_progress: Mutex<HashMap<SocketAddr, Instant>>,
}

impl ProgressTracker {
    /// Records that an address sent the head or another part of a response.
    pub fn record_progress(&self, address: SocketAddr, now: Instant) {
        self.last_progress.lock().insert(address, now);
    }

    /// Returns the extent of the stall when a request that was sent at `sent` got no response.
    pub fn stall_scope(&self, address: SocketAddr, sent: Instant) -> StallScope {
        match self.last_progress.lock().get(&address) {
            Some(last) if *last > sent => StallScope::Connection,
            _ => StallScope::Address,
        }
    }
}
