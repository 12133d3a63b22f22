//! A network in memory that delivers datagrams late, twice, out of order or not at all.

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

/// A datagram that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Sender.
    pub from: SocketAddr,
    /// Receiver.
    pub to: SocketAddr,
    /// Contents.
    pub bytes: Vec<u8>,
}

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkQuality {
    /// Time that a datagram takes.
    pub latency: Duration,
    /// Largest additional time; datagrams overtake one another within it.
    pub jitter: Duration,
    /// Datagrams lost out of a thousand.
    pub loss_per_mille: u64,
    /// Datagrams delivered twice out of a thousand.
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

/// A network in memory.
pub struct MemoryNetwork {
    random: Arc<dyn Random>,
    state: Mutex<State>,
}

impl MemoryNetwork {
    /// Creates a network whose faults follow `random`.
    pub fn new(random: Arc<dyn Random>) -> Arc<Self> {
        Arc::new(Self { random, state: Mutex::new(State::default()) })
    }

    /// Returns a sender with the address `from`.
    pub fn port(self: &Arc<Self>, from: SocketAddr) -> Arc<dyn Network> {
        Arc::new(Port { network: Arc::clone(self), from })
    }

    /// Changes what the network does to datagrams sent from now on.
    pub fn set_quality(&self, quality: LinkQuality) {
        self.state.lock().quality = quality;
    }

    /// Cuts two addresses off from each other, in both directions.
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        let mut state = self.state.lock();
        state.cuts.insert((a, b));
        state.cuts.insert((b, a));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.state.lock().cuts.clear();
    }

    /// Returns the bytes that an address has sent.
    pub fn sent_bytes(&self, from: IpAddr) -> u64 {
        self.state.lock().sent_bytes.get(&from).copied().unwrap_or_default()
    }

    /// Returns the bytes of sealed messages that an address has sent, without relayed packets.
    pub fn control_bytes(&self, from: IpAddr) -> u64 {
        self.state.lock().control_bytes.get(&from).copied().unwrap_or_default()
    }

    /// Returns when the next datagram arrives.
    pub fn next_arrival(&self) -> Option<Instant> {
        self.state.lock().queue.keys().next().map(|(at, _)| *at)
    }

    /// Returns the datagrams that have arrived by `now`, in the order of their arrival.
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

    /// Sends a datagram.
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
