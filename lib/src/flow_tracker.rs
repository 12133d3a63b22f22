//! What the packets of callers tell about open flows: which are busy, which make no progress.
//!
//! The table only helps to judge targets; packets are forwarded by their cookie without it.

use std::collections::hash_map::Entry;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::segment::{FlowEnds, Segment};

/// Largest number of flows that are watched; further ones are forwarded unwatched.
pub const MAX_WATCHED: usize = 100_000;
/// Time after which a request without progress no longer counts as running.
pub const REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time without packets after which a flow is no longer watched.
pub const IDLE_TIME: Duration = Duration::from_secs(20);

/// An opening that was handed to targets and has no next packet yet.
#[derive(Clone, Debug)]
pub struct HalfOpenFlow {
    /// Targets that it was handed to, the last one last.
    pub tried: Vec<usize>,
    /// When it was first handed to one.
    pub since: Instant,
    /// When it was last handed to one.
    pub at: Instant,
    /// Whether the last target was told to be silent because of it.
    pub is_judged: bool,
}

#[derive(Clone, Debug)]
struct OpenFlow {
    target: usize,
    last_seen: Instant,
    newest_seq: u32,
    last_ack: u32,
    running_since: Option<Instant>,
}

/// What a packet of an open flow shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// The target answered since the flow's last packet.
    pub is_progress: bool,
    /// The caller repeats data that it has sent before.
    pub is_retransmission: bool,
    /// Time from the first opening packet to this one, if it is the first that follows.
    pub handshake_time: Option<Duration>,
    /// Time from the last new data of the caller to this sign of an answer.
    pub response_time: Option<Duration>,
}

/// Flows that this instance has seen packets of.
#[derive(Debug, Default)]
pub struct FlowTracker {
    openings: HashMap<FlowEnds, HalfOpenFlow>,
    flows: HashMap<FlowEnds, OpenFlow>,
    running: HashMap<usize, u32>,
}

impl FlowTracker {
    /// Returns the opening of a flow.
    pub fn half_open(&self, ends: &FlowEnds) -> Option<&HalfOpenFlow> {
        self.openings.get(ends)
    }

    /// Notes that an opening was handed to a target.
    pub fn record_half_open(&mut self, ends: FlowEnds, target: usize, now: Instant) {
        let fresh =
            || HalfOpenFlow { tried: Vec::with_capacity(1), since: now, at: now, is_judged: false };
        let opening = self.openings.entry(ends).or_insert_with(fresh);
        opening.tried.push(target);
        opening.at = now;
        opening.is_judged = false;
    }

    /// Returns the requests that are believed to run at a target through this instance.
    pub fn running_requests(&self, target: usize) -> u32 {
        self.running.get(&target).copied().unwrap_or_default()
    }

    /// Notes a packet of an open flow.
    pub fn record_segment(
        &mut self,
        segment: &Segment,
        target: usize,
        now: Instant,
    ) -> Observation {
        let opening = self.openings.remove(&segment.ends);
        let mut seen = Observation {
            is_progress: opening.is_some(),
            handshake_time: opening.map(|opening| now.saturating_duration_since(opening.since)),
            ..Observation::default()
        };
        if segment.control.aborts || segment.control.ends {
            self.close(&segment.ends);
            return seen;
        }
        let is_full = self.flows.len() >= MAX_WATCHED;
        let flow = match self.flows.entry(segment.ends) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(_) if is_full => return seen,
            Entry::Vacant(entry) => entry.insert(OpenFlow {
                target,
                last_seen: now,
                newest_seq: segment.seq,
                last_ack: segment.ack,
                running_since: None,
            }),
        };
        flow.last_seen = now;
        let has_data = segment.data_len > 0;
        seen.is_retransmission = has_data && is_before(segment.seq, flow.newest_seq);
        if is_before(flow.last_ack, segment.ack) {
            seen.is_progress = true;
            flow.last_ack = segment.ack;
            if let Some(since) = flow.running_since.take() {
                seen.response_time = Some(now.saturating_duration_since(since));
                decrease(&mut self.running, flow.target);
            }
        }
        if has_data && !seen.is_retransmission {
            flow.newest_seq = segment.seq.wrapping_add(u32::from(segment.data_len));
            if flow.running_since.replace(now).is_none() {
                *self.running.entry(flow.target).or_default() += 1;
            }
        }
        seen
    }

    /// Returns the openings that have become unanswered: the flow's last target each.
    pub fn take_unanswered(&mut self, now: Instant, after: Duration) -> Vec<usize> {
        let mut silent = Vec::new();
        for opening in self.openings.values_mut() {
            if !opening.is_judged && now >= opening.at + after {
                opening.is_judged = true;
                silent.extend(opening.tried.last());
            }
        }
        silent
    }

    /// Forgets openings and flows without packets.
    pub fn expire(&mut self, now: Instant, opening_time: Duration) {
        self.openings.retain(|_, opening| now < opening.at + opening_time);
        let running = &mut self.running;
        for flow in self.flows.values_mut() {
            if flow.running_since.is_some_and(|since| now >= since + REQUEST_TIME) {
                flow.running_since = None;
                decrease(running, flow.target);
            }
        }
        self.flows.retain(|_, flow| now < flow.last_seen + IDLE_TIME);
    }

    /// Returns the number of flows that are watched.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether no flow is watched.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Forgets a flow that has ended.
    pub fn close(&mut self, ends: &FlowEnds) {
        if let Some(flow) = self.flows.remove(ends) {
            if flow.running_since.is_some() {
                decrease(&mut self.running, flow.target);
            }
        }
    }
}

fn decrease(running: &mut HashMap<usize, u32>, target: usize) {
    if let Some(count) = running.get_mut(&target) {
        *count = count.saturating_sub(1);
    }
}

/// Tells whether sequence number `a` comes before `b`, across the wrap.
fn is_before(a: u32, b: u32) -> bool {
    a != b && b.wrapping_sub(a) < 1 << 31
}
