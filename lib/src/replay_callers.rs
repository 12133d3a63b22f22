//! Simulated callers of a replay, which open flows, send packets on schedule, retransmit lost
//! packets, and close their flows.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use smol_str::SmolStr;

use crate::collections::HashMap;
use crate::flow::FlowKey;
use crate::ids::{InstanceId, TargetId};
use crate::packet::Control;
use crate::random::Random;
use crate::replay_world::Millis;
use crate::trace_file::{CloseEvent, OpenEvent};

/// Time after which a caller retransmits a packet that was not delivered.
const RETRY_INTERVAL_MS: Millis = 1_000;
/// Upper bound (exclusive) of the random delay after which a caller replaces an abandoned flow,
/// which spreads the reconnects over time.
const MAX_REOPEN_DELAY_MS: u64 = 2_000;
/// Offset of the caller's port of a replacement flow from that of the abandoned flow.
const REOPEN_PORT_OFFSET: u16 = 20_000;
/// Number of flows from one IP address, each with its own port.
const FLOWS_PER_ADDRESS: u32 = 100;
/// Number of most recent steps that are kept for each flow.
const MAX_HISTORY_STEPS: usize = 8;

value_type! {
    /// A step in the history of a flow, which reports show for a flow that missed an outcome.
    #[serde(rename_all = "snake_case")]
    pub enum FlowStep {
        /// A caller sent a packet, and the network fabric passed it to an instance.
        Sent {
            /// Time since the start of the replay, in milliseconds.
            at_ms: Millis,
            /// Instance that received the packet from the fabric.
            instance: InstanceId,
        },
        /// A packet reached a target.
        Delivered {
            /// Time since the start of the replay, in milliseconds.
            at_ms: Millis,
            /// Instance that sent the packet to the target.
            instance: InstanceId,
            /// Target that received the packet.
            target: TargetId,
        },
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// The caller closed the flow.
    Closed,
    /// The caller abandoned the flow because the data centre of its target went out of service.
    GivenUp,
    /// The flow was counted as broken; later packets of it are not checked.
    Broken,
}

/// A flow of a simulated caller.
#[derive(Debug)]
pub struct CallerFlow {
    /// Protocol, and addresses and ports of the caller and the service.
    pub key: FlowKey,
    /// Group under which the trace opens and closes the flow.
    pub group: SmolStr,
    /// Time at which the first packet is due, in milliseconds.
    pub opened: Millis,
    /// Target that received the first delivered packet, to which all later ones must go; absent
    /// until then.
    pub first_target: Option<TargetId>,
    /// Time at which the first packet after the last delivery was sent, in milliseconds; absent
    /// when no packet is outstanding.
    pub undelivered_since: Option<Millis>,
    /// How the flow ended; absent while it is open.
    pub end: Option<FlowEnd>,
    /// Whether the flow replaces an abandoned one. Such flows do not count towards imbalance.
    pub is_reopened: bool,
    /// Whether a late first delivery was already recorded as a miss.
    pub is_open_wait_exceeded: bool,
    /// Most recent steps, oldest first.
    pub history: VecDeque<FlowStep>,
    keep_alive: Millis,
    last_sent: Millis,
    is_closing: bool,
}

impl CallerFlow {
    /// Appends a step to the history, and drops the oldest one when the history is full.
    pub fn record_step(&mut self, step: FlowStep) {
        if self.history.len() == MAX_HISTORY_STEPS {
            self.history.pop_front();
        }
        self.history.push_back(step);
    }

    /// Returns whether the caller sends a packet now: to close the flow, to retransmit an
    /// undelivered packet, or because the keep-alive interval has passed.
    fn is_due(&self, now: Millis) -> bool {
        self.is_closing
            || self.undelivered_since.is_some()
            || self.is_undelivered()
            || now >= self.last_sent + self.keep_alive
    }

    fn is_undelivered(&self) -> bool {
        self.first_target.is_none()
    }

    fn control(&self) -> Control {
        Control { opens: self.is_undelivered(), finishes: self.is_closing, resets: false }
    }
}

/// All flows of a replay, with the times at which they next send.
#[derive(Debug, Default)]
pub struct Callers {
    flows: Vec<CallerFlow>,
    by_key: HashMap<FlowKey, usize>,
    due: BTreeMap<Millis, Vec<usize>>,
}

impl Callers {
    /// Schedules the flows of a group, evenly over the time that the event states.
    pub fn open(&mut self, now: Millis, event: &OpenEvent) {
        for number in 0..event.count {
            let at = now + event.over_ms * u64::from(number) / u64::from(event.count);
            let caller = caller_address(event.first_caller, number);
            let key = FlowKey { protocol: event.protocol, caller, service: event.service };
            self.add(at, key, event.group.clone(), event.keep_alive_ms, false);
        }
    }

    /// Returns the index of the flow with a key, and adds a flow without a schedule when there is
    /// none.
    pub fn find_or_add(&mut self, now: Millis, key: FlowKey) -> usize {
        match self.by_key.get(&key) {
            Some(index) => *index,
            None => self.push(now, key, "packet".into(), 0, false),
        }
    }

    /// Schedules the end of the open flows of a group, evenly over the time that the event states.
    pub fn close(&mut self, now: Millis, event: &CloseEvent) {
        let indexes: Vec<_> = self.open_of(&event.group).collect();
        let count = indexes.len().max(1) as u64;
        for (number, index) in indexes.into_iter().enumerate() {
            let at = now + event.over_ms * number as u64 / count;
            self.flows[index].is_closing = true;
            self.due.entry(at).or_default().push(index);
        }
    }

    fn open_of<'a>(&'a self, group: &'a str) -> impl Iterator<Item = usize> + 'a {
        let all = self.flows.iter().enumerate();
        all.filter(move |(_, flow)| flow.group == group && flow.end.is_none())
            .map(|(index, _)| index)
    }

    /// Abandons the open flows whose target matches `is_abandoned`, and schedules a replacement for
    /// each. Returns the number of abandoned flows.
    pub fn abandon(
        &mut self,
        now: Millis,
        random: &dyn Random,
        is_abandoned: impl Fn(&TargetId) -> bool,
    ) -> u64 {
        let is_affected = |flow: &CallerFlow| {
            flow.end.is_none() && flow.first_target.as_ref().is_some_and(&is_abandoned)
        };
        let indexes: Vec<_> =
            (0..self.flows.len()).filter(|index| is_affected(&self.flows[*index])).collect();
        for index in &indexes {
            let flow = &mut self.flows[*index];
            flow.end = Some(FlowEnd::GivenUp);
            let (mut key, group) = (flow.key, flow.group.clone());
            let keep_alive = flow.keep_alive;
            key.caller.set_port(key.caller.port().wrapping_add(REOPEN_PORT_OFFSET));
            let at = now + random.below(MAX_REOPEN_DELAY_MS);
            self.add(at, key, group, keep_alive, true);
        }
        indexes.len() as u64
    }

    /// Returns the flows that send a packet by `now`, each with the flags of the packet, and
    /// schedules the next packet of each flow that stays open.
    pub fn take_due(&mut self, now: Millis) -> Vec<(usize, Control)> {
        let later = self.due.split_off(&(now + 1));
        let due = std::mem::replace(&mut self.due, later);
        let mut sends = Vec::new();
        for index in due.into_values().flatten() {
            let flow = &mut self.flows[index];
            if flow.end.is_some() {
                continue;
            }
            if !flow.is_due(now) {
                self.due.entry(flow.last_sent + flow.keep_alive).or_default().push(index);
                continue;
            }
            sends.push((index, flow.control()));
            if flow.is_closing {
                flow.end = Some(FlowEnd::Closed);
                continue;
            }
            flow.last_sent = now;
            flow.undelivered_since.get_or_insert(now);
            let next = now + flow.keep_alive.min(RETRY_INTERVAL_MS);
            self.due.entry(next).or_default().push(index);
        }
        sends
    }

    /// Returns the flow with an index.
    ///
    /// # Panics
    ///
    /// Panics when no flow has the index.
    pub fn flow_mut(&mut self, index: usize) -> &mut CallerFlow {
        &mut self.flows[index]
    }

    /// Returns the newest flow with a key.
    pub fn find_mut(&mut self, key: &FlowKey) -> Option<&mut CallerFlow> {
        self.by_key.get(key).map(|index| &mut self.flows[*index])
    }

    /// Returns all flows, including ended ones.
    pub fn flows(&self) -> &[CallerFlow] {
        &self.flows
    }

    /// Returns all flows for modification, including ended ones.
    pub fn flows_mut(&mut self) -> &mut [CallerFlow] {
        &mut self.flows
    }

    fn add(
        &mut self,
        at: Millis,
        key: FlowKey,
        group: SmolStr,
        keep_alive: Millis,
        is_reopened: bool,
    ) {
        let index = self.push(at, key, group, keep_alive, is_reopened);
        self.due.entry(at).or_default().push(index);
    }

    fn push(
        &mut self,
        opened: Millis,
        key: FlowKey,
        group: SmolStr,
        keep_alive: Millis,
        is_reopened: bool,
    ) -> usize {
        let index = self.flows.len();
        self.flows.push(CallerFlow {
            key,
            group,
            opened,
            first_target: None,
            undelivered_since: None,
            end: None,
            is_reopened,
            is_open_wait_exceeded: false,
            history: VecDeque::new(),
            keep_alive,
            last_sent: opened,
            is_closing: false,
        });
        self.by_key.insert(key, index);
        index
    }
}

fn caller_address(first: SocketAddr, flow_index: u32) -> SocketAddr {
    let port = first.port() + (flow_index % FLOWS_PER_ADDRESS) as u16;
    let address_offset = flow_index / FLOWS_PER_ADDRESS;
    let ip = match first.ip() {
        IpAddr::V4(ip) => IpAddr::V4(Ipv4Addr::from(u32::from(ip) + address_offset)),
        IpAddr::V6(ip) => IpAddr::V6((u128::from(ip) + u128::from(address_offset)).into()),
    };
    SocketAddr::new(ip, port)
}
