//! Callers of a replay: flows that open, send on schedule, repeat what got lost, and close.

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

/// Time after which a caller repeats a packet that was lost.
const RETRY_INTERVAL_MS: Millis = 1_000;
/// Longest time after which a caller whose flow was given up opens a new one.
const MAX_REOPEN_DELAY_MS: u64 = 2_000;
/// Distance of the port of a new flow from that of the flow that was given up.
const REOPEN_PORT_OFFSET: u16 = 20_000;
/// Flows for each address of a caller.
const FLOWS_PER_CALLER: u32 = 100;
/// Steps of a flow that are kept.
const MAX_HISTORY_STEPS: usize = 8;

value_type! {
    /// What happened to a packet of a flow.
    #[serde(rename_all = "snake_case")]
    pub enum FlowStep {
        /// The fabric handed it to an instance.
        Sent {
            /// When.
            at_ms: Millis,
            /// Instance.
            instance: InstanceId,
        },
        /// It reached a target.
        Delivered {
            /// When.
            at_ms: Millis,
            /// Instance that sent it there.
            instance: InstanceId,
            /// Target.
            target: TargetId,
        },
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// Its caller closed it.
    Closed,
    /// Its data centre was taken out.
    GivenUp,
    /// It was judged broken, and is judged no more.
    Broken,
}

/// One flow.
#[derive(Debug)]
pub struct CallerFlow {
    /// Addresses and ports.
    pub key: FlowKey,
    /// Group that it belongs to.
    pub group: SmolStr,
    /// When its first packet was due.
    pub opened: Millis,
    /// Target that it first reached.
    pub first_target: Option<TargetId>,
    /// Since when no packet of it was delivered although some were sent.
    pub lost_since: Option<Millis>,
    /// How it ended.
    pub end: Option<FlowEnd>,
    /// Whether it replaces a flow that was given up.
    pub is_reopened: bool,
    /// Whether a late first delivery was already noted.
    pub is_late: bool,
    /// Last steps.
    pub history: VecDeque<FlowStep>,
    keep_alive: Millis,
    last_sent: Millis,
    is_closing: bool,
}

impl CallerFlow {
    /// Keeps a step.
    pub fn record_step(&mut self, step: FlowStep) {
        if self.history.len() == MAX_HISTORY_STEPS {
            self.history.pop_front();
        }
        self.history.push_back(step);
    }

    /// Tells whether the caller sends: it closes, its last packet was lost, or it is time again.
    fn is_due(&self, now: Millis) -> bool {
        self.is_closing
            || self.lost_since.is_some()
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

/// All flows of a replay.
#[derive(Debug, Default)]
pub struct Callers {
    flows: Vec<CallerFlow>,
    by_key: HashMap<FlowKey, usize>,
    due: BTreeMap<Millis, Vec<usize>>,
}

impl Callers {
    /// Plans the flows of a group.
    pub fn open(&mut self, now: Millis, event: &OpenEvent) {
        for number in 0..event.count {
            let at = now + event.over_ms * u64::from(number) / u64::from(event.count);
            let caller = caller(event.first_caller, number);
            let key = FlowKey { protocol: event.protocol, caller, service: event.service };
            self.add(at, key, event.group.clone(), event.keep_alive_ms, false);
        }
    }

    /// Plans a single packet, which opens a flow when none has its addresses. Returns the flow.
    pub fn find_or_add(&mut self, now: Millis, key: FlowKey) -> usize {
        match self.by_key.get(&key) {
            Some(index) => *index,
            None => self.push(now, key, "packet".into(), 0, false),
        }
    }

    /// Plans the end of the flows of a group.
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

    /// Gives up the flows for which `ends` holds; their callers open new ones. Returns how many.
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

    /// Takes the flows that send by `now`, each with the flags of its packet.
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
            flow.lost_since.get_or_insert(now);
            let next = now + flow.keep_alive.min(RETRY_INTERVAL_MS);
            self.due.entry(next).or_default().push(index);
        }
        sends
    }

    /// Returns a flow by its index.
    pub fn flow_mut(&mut self, index: usize) -> &mut CallerFlow {
        &mut self.flows[index]
    }

    /// Returns a flow by its addresses.
    pub fn find_mut(&mut self, key: &FlowKey) -> Option<&mut CallerFlow> {
        self.by_key.get(key).map(|index| &mut self.flows[*index])
    }

    /// Returns all flows.
    pub fn flows(&self) -> &[CallerFlow] {
        &self.flows
    }

    /// Returns all flows, to change them.
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
            lost_since: None,
            end: None,
            is_reopened,
            is_late: false,
            history: VecDeque::new(),
            keep_alive,
            last_sent: opened,
            is_closing: false,
        });
        self.by_key.insert(key, index);
        index
    }
}

fn caller(first: SocketAddr, number: u32) -> SocketAddr {
    let port = first.port() + (number % FLOWS_PER_CALLER) as u16;
    let step = number / FLOWS_PER_CALLER;
    let ip = match first.ip() {
        IpAddr::V4(ip) => IpAddr::V4(Ipv4Addr::from(u32::from(ip) + step)),
        IpAddr::V6(ip) => IpAddr::V6((u128::from(ip) + u128::from(step)).into()),
    };
    SocketAddr::new(ip, port)
}
