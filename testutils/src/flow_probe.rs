//! Sends flows through an in-memory fleet, and detects the flows that reach a second target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::fleet::{Fleet, EGRESS};
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::memory_network::Datagram;
use hollyhead::packet::{self, Control};

/// Control bits of the packet that opens a flow (SYN).
pub const OPENS: Control = Control { opens: true, finishes: false, resets: false };

/// Time within which packets reach their targets, including relays between instances.
const DELIVERY_TIME: Duration = Duration::from_millis(20);
/// Number of packets that are injected before the network runs.
const BATCH_PACKETS: usize = 500;
const FIRST_PORT: u32 = 10_000;
const PORTS_PER_HOST: u32 = 50_000;

/// State of one flow, as its caller and its targets observe it.
#[derive(Clone, Debug)]
pub struct ProbedFlow {
    /// Five-tuple of the flow.
    pub key: FlowKey,
    /// Tunnel address of the target that received the first packet; `None` before.
    pub target: Option<SocketAddr>,
    /// Whether a later packet reached another target.
    pub is_broken: bool,
    /// Whether the caller received a reset.
    pub is_reset: bool,
    /// Number of packets that reached a target.
    pub delivered: u32,
}

/// Callers and targets of the flows through a fleet.
pub struct FlowProbe {
    /// Fleet under test.
    pub fleet: Fleet,
    /// Flows in the order in which they were opened. A flow's number is its index here.
    pub flows: Vec<ProbedFlow>,
    /// Whether targets reply to every packet.
    pub answers: bool,
    by_key: BTreeMap<(SocketAddr, SocketAddr), usize>,
    injected: usize,
}

impl FlowProbe {
    /// Creates a probe of a fleet, without flows.
    pub fn new(fleet: Fleet) -> Self {
        let by_key = BTreeMap::new();
        Self { fleet, flows: Vec::new(), answers: false, by_key, injected: 0 }
    }

    /// Opens `count` flows to a service: sends the opening packet of each, and then the packet that
    /// completes the handshake. Consecutive packets enter the fleet at different instances.
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

    /// Sends one packet of every flow that was opened and not reset. Consecutive packets enter the
    /// fleet at different instances.
    pub async fn send_all(&mut self) {
        self.send(0..self.flows.len(), Control::default()).await;
    }

    /// Sends one packet with the given control bits for each of the numbered flows, except flows
    /// that were reset, and flows without a target unless the packet opens them.
    pub async fn send(&mut self, numbers: std::ops::Range<usize>, control: Control) {
        for (sent, number) in numbers.enumerate() {
            let flow = &self.flows[number];
            if flow.is_reset || (flow.target.is_none() && !control.opens) {
                continue;
            }
            let buf = packet::build(&flow.key, control, b"data").unwrap_or_default();
            let name = self.next_instance();
            self.fleet.inject(&name, &buf);
            if sent % BATCH_PACKETS == BATCH_PACKETS - 1 {
                self.run_for(Duration::from_millis(1)).await;
            }
        }
        self.run_for(DELIVERY_TIME).await;
    }

    /// Runs the fleet for a time and records the packets that it sends to targets and callers.
    pub async fn run_for(&mut self, time: Duration) {
        self.fleet.run_for(time).await;
        self.record_outbox();
    }

    /// Returns the number of flows of which a packet reached a target.
    pub fn opened(&self) -> usize {
        self.flows.iter().filter(|flow| flow.target.is_some()).count()
    }

    /// Returns the number of flows of which packets reached more than one target.
    pub fn broken(&self) -> usize {
        self.flows.iter().filter(|flow| flow.is_broken).count()
    }

    /// Returns the number of flows whose caller received a reset.
    pub fn reset(&self) -> usize {
        self.flows.iter().filter(|flow| flow.is_reset).count()
    }

    /// Returns the number of packets that reached targets.
    pub fn delivered(&self) -> u64 {
        self.flows.iter().map(|flow| u64::from(flow.delivered)).sum()
    }

    /// Returns the number of flows on each target, by the tunnel address of the target. Targets
    /// without flows are left out.
    pub fn load(&self) -> BTreeMap<SocketAddr, usize> {
        let mut load = BTreeMap::new();
        for target in self.flows.iter().filter_map(|flow| flow.target) {
            *load.entry(target).or_default() += 1;
        }
        load
    }

    /// Returns the numbers of the flows that had packets delivered since [`FlowProbe::deliveries`]
    /// returned `before`.
    pub fn delivered_since(&self, before: &[u32]) -> BTreeSet<usize> {
        let delivered = self.flows.iter().map(|flow| flow.delivered);
        let changed = delivered.zip(before).enumerate();
        changed.filter(|(_, (now, before))| now > before).map(|(number, _)| number).collect()
    }

    /// Returns the number of delivered packets of each flow, by the number of the flow.
    pub fn deliveries(&self) -> Vec<u32> {
        self.flows.iter().map(|flow| flow.delivered).collect()
    }

    fn next_instance(&mut self) -> String {
        let names: Vec<_> = self.fleet.kernels().map(|kernel| kernel.id().to_string()).collect();
        self.injected += 1;
        names[self.injected * 7 % names.len()].clone()
    }

    fn record_outbox(&mut self) {
        for datagram in self.fleet.take_outbox() {
            if datagram.to == EGRESS {
                self.record_egress(&datagram);
            } else {
                self.record_delivery(&datagram);
            }
        }
    }

    fn record_egress(&mut self, datagram: &Datagram) {
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let key = info.key.reversed();
        if let Some(number) = self.by_key.get(&(key.caller, key.service)) {
            self.flows[*number].is_reset |= info.control.resets;
        }
    }

    fn record_delivery(&mut self, datagram: &Datagram) {
        let Ok(info) = packet::parse(&datagram.bytes) else { return };
        let Some(number) = self.by_key.get(&(info.key.caller, info.key.service)) else { return };
        let flow = &mut self.flows[*number];
        flow.delivered += 1;
        flow.is_broken |= flow.target.is_some_and(|target| target != datagram.to);
        flow.target.get_or_insert(datagram.to);
        if self.answers {
            self.send_reply(&info.key.reversed(), datagram);
        }
    }

    fn send_reply(&self, key: &FlowKey, datagram: &Datagram) {
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
    let host = number / PORTS_PER_HOST;
    let port = u16::try_from(FIRST_PORT + number % PORTS_PER_HOST).unwrap_or(u16::MAX);
    SocketAddr::from(([192, 0, 2, host as u8 + 1], port))
}
