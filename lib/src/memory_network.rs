//! An in-memory network that can delay, duplicate, reorder and lose datagrams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::envelope::unverified_body;
use crate::message::Frame;
use crate::network::Network;
use crate::random::Random;

/// A datagram with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Address and port of the sender.
    pub from: SocketAddr,
    /// Address and port of the receiver.
    pub to: SocketAddr,
    /// Payload of the datagram.
    pub bytes: Vec<u8>,
}

/// Latency and faults that apply to each datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkQuality {
    /// Minimum delay of a datagram.
    pub latency: Duration,
    /// Largest additional random delay. Datagrams sent within this time of each other can be
    /// reordered.
    pub jitter: Duration,
    /// Share of datagrams that are lost, in thousandths.
    pub loss_per_mille: u64,
    /// Share of datagrams that are delivered twice, in thousandths.
    pub duplicates_per_mille: u64,
}

impl Default for LinkQuality {
    fn default() -> Self {
        Self {
            latency: Duration::from_micros(500),
            jitter: Duration::ZERO,
            loss_per_mille: 0,
            duplicates_per_mille: 0,
        }
    }
}

#[derive(Default)]
struct State {
    quality: LinkQuality,
    sequence: u64,
    queue: BTreeMap<(Instant, u64), Datagram>,
    cuts: BTreeSet<(IpAddr, IpAddr)>,
    sent_bytes: BTreeMap<IpAddr, u64>,
    control_bytes: BTreeMap<IpAddr, u64>,
}

/// An in-memory network on the clock of the Tokio runtime.
pub struct MemoryNetwork {
    random: Arc<dyn Random>,
    state: Mutex<State>,
}

impl MemoryNetwork {
    /// Creates a network without faults. Jitter, loss and duplication draw from `random`.
    pub fn new(random: Arc<dyn Random>) -> Arc<Self> {
        Arc::new(Self { random, state: Mutex::new(State::default()) })
    }

    /// Returns a handle that sends datagrams from the address `from`.
    pub fn port(self: &Arc<Self>, from: SocketAddr) -> Arc<dyn Network> {
        Arc::new(Port { network: Arc::clone(self), from })
    }

    /// Sets the latency and faults of datagrams that are sent from now on.
    pub fn set_quality(&self, quality: LinkQuality) {
        self.state.lock().quality = quality;
    }

    /// Drops all datagrams between two addresses, in both directions, until
    /// [`MemoryNetwork::heal`].
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        let mut state = self.state.lock();
        state.cuts.insert((a, b));
        state.cuts.insert((b, a));
    }

    /// Ends the effect of all calls of [`MemoryNetwork::cut`].
    pub fn heal(&self) {
        self.state.lock().cuts.clear();
    }

    /// Returns the number of bytes that an address has sent, including lost datagrams.
    pub fn sent_bytes(&self, from: IpAddr) -> u64 {
        self.state.lock().sent_bytes.get(&from).copied().unwrap_or_default()
    }

    /// Returns the number of bytes of sealed messages that an address has sent, excluding relayed
    /// packets.
    pub fn control_bytes(&self, from: IpAddr) -> u64 {
        self.state.lock().control_bytes.get(&from).copied().unwrap_or_default()
    }

    /// Returns the arrival time of the next datagram, or nothing when none is in transit.
    pub fn next_arrival(&self) -> Option<Instant> {
        self.state.lock().queue.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the datagrams that have arrived by `now`, in the order of their arrival.
    pub fn take_arrived(&self, now: Instant) -> Vec<Datagram> {
        let mut state = self.state.lock();
        let mut arrived = Vec::new();
        while let Some(entry) = state.queue.first_entry() {
            if entry.key().0 > now {
                break;
            }
            arrived.push(entry.remove());
        }
        arrived
    }

    /// Sends a datagram, subject to partitions and to the current latency and faults.
    pub fn send(&self, from: SocketAddr, to: SocketAddr, buf: &[u8]) {
        let mut state = self.state.lock();
        *state.sent_bytes.entry(from.ip()).or_default() += buf.len() as u64;
        if is_control(buf) {
            *state.control_bytes.entry(from.ip()).or_default() += buf.len() as u64;
        }
        if state.cuts.contains(&(from.ip(), to.ip())) {
            return;
        }
        let quality = state.quality;
        if self.random.below(1_000) < quality.loss_per_mille {
            return;
        }
        let is_duplicated = self.random.below(1_000) < quality.duplicates_per_mille;
        for _ in 0..1 + u8::from(is_duplicated) {
            let jitter = u64::try_from(quality.jitter.as_micros()).unwrap_or(u64::MAX);
            let jitter = Duration::from_micros(self.random.below(jitter.saturating_add(1)));
            let at = Instant::now() + quality.latency + jitter;
            state.sequence += 1;
            let key = (at, state.sequence);
            state.queue.insert(key, Datagram { from, to, bytes: buf.to_vec() });
        }
    }
}

fn is_control(buf: &[u8]) -> bool {
    let frame = unverified_body(buf).map(Frame::decode);
    frame.is_some_and(|frame| !matches!(frame, Ok(Frame::Relay(_))))
}

struct Port {
    network: Arc<MemoryNetwork>,
    from: SocketAddr,
}

impl Network for Port {
    fn send(&self, to: SocketAddr, buf: &[u8]) {
        self.network.send(self.from, to, buf);
    }
}
