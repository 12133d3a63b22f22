//! Open flows through a fleet in memory, and which of them reached a second target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::fleet::{Fleet, EGRESS};
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::memory_network::Datagram;
use hollyhead::packet::{self, Control};

/// Control bits of a packet that opens a flow.
pub const OPENS: Control = Control { opens: true, finishes: false, resets: false };

/// Time that packets take to reach their targets, with some relays on the way.
const PASSAGE: Duration = Duration::from_millis(20);
/// Packets that are handed in before the network delivers them.
const CHUNK: usize = 500;
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 50_000;

/// What is known of one flow.
#[derive(Clone, Debug)]
pub struct ProbedFlow {
    /// Addresses and ports.
    pub key: FlowKey,
    /// Target that took its first packet.
    pub target: Option<SocketAddr>,
    /// Whether a packet reached another target.
    pub is_broken: bool,
    /// Whether the caller got a reset.
    pub is_reset: bool,
    /// Packets that reached a target.
    pub delivered: u32,
}

/// Open flows through a fleet.
pub struct FlowProbe {
    /// Fleet under test.
    pub fleet: Fleet,
    /// Flows by number.
    pub flows: Vec<ProbedFlow>,
    /// Whether targets answer every packet.
    pub answers: bool,
    by_key: BTreeMap<(SocketAddr, SocketAddr), usize>,
    turn: usize,
}

impl FlowProbe {
    /// Creates a probe without flows.
    pub fn new(fleet: Fleet) -> Self {
        let by_key = BTreeMap::new();
        Self { fleet, flows: Vec::new(), answers: false, by_key, turn: 0 }
    }

    /// Opens flows, each through the next instance, with the packet that ends the handshake.
    pub async fn open(&mut self, service: SocketAddr, count: usize) {
        let first = self.flows.len();
        for number in first..first + count {
            let key = FlowKey { protocol: Protocol::Tcp, caller: caller(number), service };
            let flow =
                ProbedFlow { key, target: None, is_broken: false, is_reset: false, delivered: 0 };
            self.flows.push(flow);
            self.by_key.insert((key.caller, key.service), number);
        }
        self.send(first..first + count, OPENS).await;
        self.send(first..first + count, Control::default()).await;
    }

    /// Sends one packet of every flow that was opened and not reset, each through the next
    /// instance.
    pub async fn send_all(&mut self) {
        self.send(0..self.flows.len(), Control::default()).await;
    }

    /// Sends one packet of some flows that were opened and not reset.
    pub async fn send(&mut self, numbers: std::ops::Range<usize>, control: Control) {
        for (sent, number) in numbers.enumerate() {
            let flow = &self.flows[number];
            if flow.is_reset || (flow.target.is_none() && !control.opens) {
                continue;
            }
            let buf = packet::build(&flow.key, control, b"data").unwrap_or_default();
            let name = self.next_instance();
            self.fleet.inject(&name, &buf);
            if sent % CHUNK == CHUNK - 1 {
                self.run_for(Duration::from_millis(1)).await;
            }
        }
        self.run_for(PASSAGE).await;
    }

    /// Lets time pass and notes what leaves the fleet.
    pub async fn run_for(&mut self, time: Duration) {
        self.fleet.run_for(time).await;
        self.note();
    }

    /// Returns the flows that a target took.
    pub fn opened(&self) -> usize {
        self.flows.iter().filter(|flow| flow.target.is_some()).count()
    }

    /// Returns the flows of which a packet reached a second target.
    pub fn broken(&self) -> usize {
        self.flows.iter().filter(|flow| flow.is_broken).count()
    }

    /// Returns the flows whose caller got a reset.
    pub fn reset(&self) -> usize {
        self.flows.iter().filter(|flow| flow.is_reset).count()
    }

    /// Returns the packets that reached targets.
    pub fn delivered(&self) -> u64 {
        self.flows.iter().map(|flow| u64::from(flow.delivered)).sum()
    }

    /// Returns the targets that took flows, with the number of flows of each.
    pub fn load(&self) -> BTreeMap<SocketAddr, usize> {
        let mut load = BTreeMap::new();
        for target in self.flows.iter().filter_map(|flow| flow.target) {
            *load.entry(target).or_default() += 1;
        }
        load
    }

    /// Returns the flows of which more packets reached targets than `before`.
    pub fn delivered_since(&self, before: &[u32]) -> BTreeSet<usize> {
        let delivered = self.flows.iter().map(|flow| flow.delivered);
        let changed = delivered.zip(before).enumerate();
        changed.filter(|(_, (now, before))| now > before).map(|(number, _)| number).collect()
    }

    /// Returns the number of delivered packets of each flow.
    pub fn deliveries(&self) -> Vec<u32> {
        self.flows.iter().map(|flow| flow.delivered).collect()
    }

    fn next_instance(&mut self) -> String {
        let names: Vec<_> = self.fleet.kernels().map(|kernel| kernel.id().to_string()).collect();
        self.turn += 1;
        names[self.turn * 7 % names.len()].clone()
    }

    fn note(&mut self) {
        for datagram in self.fleet.take_outbox() {
            if datagram.to == EGRESS {
                self.note_answer(&datagram);
            } else {
                self.note_delivery(&datagram);
            }
        }
    }

    fn note_answer(&mut self, datagram: &Datagram) {
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let key = info.key.reversed();
        if let Some(number) = self.by_key.get(&(key.caller, key.service)) {
            self.flows[*number].is_reset |= info.control.resets;
        }
    }

    fn note_delivery(&mut self, datagram: &Datagram) {
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let Some(number) = self.by_key.get(&(info.key.caller, info.key.service)) else { return };
        let flow = &mut self.flows[*number];
        flow.delivered += 1;
        flow.is_broken |= flow.target.is_some_and(|target| target != datagram.to);
        flow.target.get_or_insert(datagram.to);
        if self.answers {
            self.answer(&info.key.reversed(), datagram);
        }
    }

    fn answer(&self, key: &FlowKey, datagram: &Datagram) {
        let reply = packet::build(key, Control::default(), b"echo").unwrap_or_default();
        let owner = self
            .fleet
            .kernels()
            .find(|kernel| self.fleet.ip(kernel.id()).is_some_and(|ip| ip == datagram.from.ip()));
        if let Some(owner) = owner {
            self.fleet.inject_reply(owner.id(), datagram.to, &reply);
        }
    }
}

fn caller(number: usize) -> SocketAddr {
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    let host = number / PORTS;
    let port = u16::try_from(FIRST_PORT + number % PORTS).unwrap_or(u16::MAX);
    SocketAddr::from(([192, 0, 2, host as u8 + 1], port))
}
