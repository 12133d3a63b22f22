//! In-memory network with links of limited bandwidth, which drop datagrams that exceed their
//! queues.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::network::Network;
use parking_lot::Mutex;
use tokio::time::Instant;

const LATENCY: Duration = Duration::from_micros(500);

/// Bandwidth and queue size of each instance's link, in each direction.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Bandwidth in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of bytes queued for the link.
    pub queue_bytes: u64,
}

/// A delivered datagram: sender, receiver, contents.
pub type Arrived = (SocketAddr, SocketAddr, Vec<u8>);

#[derive(Default)]
struct State {
    sequence: u64,
    queue: BTreeMap<(Instant, u64), Arrived>,
    uplink_free_at: BTreeMap<IpAddr, Instant>,
    downlink_free_at: BTreeMap<IpAddr, Instant>,
    dropped: u64,
    sent_bytes: u64,
}

/// In-memory network whose links all have the same limits.
pub struct BandwidthLimitedNetwork {
    link: LinkLimits,
    state: Mutex<State>,
}

impl BandwidthLimitedNetwork {
    /// Creates a network in which each instance's link has the limits `link`.
    pub fn new(link: LinkLimits) -> Arc<Self> {
        Arc::new(Self { link, state: Mutex::new(State::default()) })
    }

    /// Returns the interface through which an address sends.
    pub fn port(self: &Arc<Self>, from: SocketAddr) -> Arc<dyn Network> {
        Arc::new(BandwidthLimitedPort { network: Arc::clone(self), from })
    }

    /// Returns the number of datagrams dropped because a queue was full.
    pub fn dropped(&self) -> u64 {
        self.state.lock().dropped
    }

    /// Returns the number of bytes sent, dropped datagrams included.
    pub fn sent_bytes(&self) -> u64 {
        self.state.lock().sent_bytes
    }

    /// Removes and returns the datagrams delivered up to `now`, in the order of their arrival.
    pub fn take_arrived(&self, now: Instant) -> Vec<Arrived> {
        let mut state = self.state.lock();
        let later = state.queue.split_off(&(now, u64::MAX));
        std::mem::replace(&mut state.queue, later).into_values().collect()
    }

    fn send(&self, from: SocketAddr, to: SocketAddr, buf: &[u8]) {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.sent_bytes += buf.len() as u64;
        let up = self.transmit(&mut state.uplink_free_at, from.ip(), Instant::now(), buf.len());
        let down = up.and_then(|at| {
            self.transmit(&mut state.downlink_free_at, to.ip(), at + LATENCY, buf.len())
        });
        match down {
            Some(at) => {
                state.sequence += 1;
                state.queue.insert((at, state.sequence), (from, to, buf.to_vec()));
            }
            None => state.dropped += 1,
        }
    }

    /// Returns the time at which a datagram has left a link, or `None` if the link's queue is full.
    fn transmit(
        &self,
        free_at_by_ip: &mut BTreeMap<IpAddr, Instant>,
        ip: IpAddr,
        at: Instant,
        len: usize,
    ) -> Option<Instant> {
        let free_at = free_at_by_ip.get(&ip).copied().unwrap_or(at).max(at);
        if free_at.saturating_duration_since(at) > self.transmission_time(self.link.queue_bytes) {
            return None;
        }
        let transmitted_at = free_at + self.transmission_time(len as u64);
        free_at_by_ip.insert(ip, transmitted_at);
        Some(transmitted_at)
    }

    fn transmission_time(&self, bytes: u64) -> Duration {
        Duration::from_nanos(bytes * 1_000_000_000 / self.link.bytes_per_second)
    }
}

struct BandwidthLimitedPort {
    network: Arc<BandwidthLimitedNetwork>,
    from: SocketAddr,
}

impl Network for BandwidthLimitedPort {
    fn send(&self, to: SocketAddr, buf: &[u8]) {
        self.network.send(self.from, to, buf);
    }
}
