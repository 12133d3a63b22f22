//! Progress of connections to backend servers: tells a silent connection from a silent target.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::collections::HashMap;

/// What is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallScope {
    /// This connection only: others to the same address have got answers meanwhile.
    Connection,
    /// The address: no connection to it has got an answer meanwhile.
    Address,
}

/// Last answers from each address.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    last: Mutex<HashMap<SocketAddr, Instant>>,
}

impl ProgressTracker {
    /// Notes that an answer of an address has begun or gone on.
    pub fn record_progress(&self, address: SocketAddr, now: Instant) {
        self.last.lock().insert(address, now);
    }

    /// Tells what is silent when a request that was sent at `sent` has got no answer.
    pub fn stall_scope(&self, address: SocketAddr, sent: Instant) -> StallScope {
        match self.last.lock().get(&address) {
            Some(last) if *last > sent => StallScope::Connection,
            _ => StallScope::Address,
        }
    }
}
