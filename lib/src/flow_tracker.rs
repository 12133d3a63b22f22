//! Connection tracking: derives from the packets of callers which flows have a running request and
//! which make no progress.
//!
//! The state only serves to assess the load and health of targets. Packets of open flows are
//! forwarded by their cookie without it.

use std::collections::hash_map::Entry;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::segment::{FlowEnds, Segment};
use crate::waiting_flows::{WaitingFlow, WaitingFlows};

/// Maximum number of tracked flows; packets of further flows are forwarded without tracking.
pub const MAX_TRACKED_FLOWS: usize = 100_000;
/// Time after which a request without progress no longer counts as running.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a caller's last new data within which older data counts as reordered, not as
/// retransmitted. The segments of an upload leave in bursts and overtake each other by milliseconds,
/// and callers retransmit after 200 ms.
pub const REORDERING_WINDOW: Duration = Duration::from_millis(100);
/// Least time without a packet after a request that can be a stall. It exceeds the time for which
/// callers delay an acknowledgement.
pub const MIN_STALL_TIME: Duration = Duration::from_millis(60);
/// Time without packets after which a flow is no longer tracked.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Flow whose opening packet was forwarded, but whose caller has sent no next packet yet.
#[derive(Clone, Debug)]
pub struct HalfOpenFlow {
    /// Index of the target that last got the opening packet or a retransmission of it.
    pub target: usize,
    /// Time at which the opening packet was first forwarded.
    pub first_sent_at: Instant,
    /// Time at which the opening packet was last forwarded.
    pub last_sent_at: Instant,
    /// Whether the flow has been reported as unanswered by its last target.
    pub is_timed_out: bool,
}

#[derive(Clone, Debug)]
struct OpenFlow {
    target: usize,
    /// Time of the first packet that this instance saw.
    first_seen: Instant,
    last_seen: Instant,
    next_seq: u32,
    /// Time at which the caller last sent new data.
    last_new_data_at: Instant,
    last_ack: u32,
    running_since: Option<Instant>,
    /// Whether the caller has sent a request, or may have sent one through another instance.
    has_request: bool,
    /// Time that the handshake took; `None` if this instance did not see it.
    round_trip: Option<Duration>,
    /// Whether the running request has been returned as stalled.
    is_stalled: bool,
}

/// Request after which the caller has sent no packet for long, not even an acknowledgement: its
/// target has reset the flow or does not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledRequest {
    /// Index of the target.
    pub target: usize,
    /// Address that the caller sent the request to.
    pub service: SocketAddrV4,
    /// Time of the caller's last packet.
    pub silent_since: Instant,
}

/// Time that a target took to answer a request, derived from the packets of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// Index of the target.
    pub target: usize,
    /// Time from the caller's last new data to its first acknowledgement of data from the target.
    pub response_time: Duration,
    /// Time that the handshake of the flow took, which a round trip without work takes too; `None`
    /// if this instance did not see it.
    pub round_trip: Option<Duration>,
    /// Length of the data that the packet acknowledges, in bytes.
    pub length: u32,
    /// Whether the request was returned as stalled before its answer came.
    pub was_stalled: bool,
}

impl AnswerTime {
    /// Returns the time that the request spent at the target, queue included: the response time
    /// without a round trip. `None` if the round trip is unknown.
    pub fn time_at_target(&self) -> Option<Duration> {
        Some(self.response_time.saturating_sub(self.round_trip?))
    }
}

/// Conclusions from one packet of an open flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Whether the target has answered since the caller's previous packet.
    pub is_progress: bool,
    /// Whether the caller retransmits data.
    pub is_retransmission: bool,
    /// Whether this packet is the first of a request.
    pub starts_request: bool,
    /// Time from the first opening packet to this packet; `None` unless this packet is the first
    /// after the opening.
    pub handshake_time: Option<Duration>,
    /// Whether this packet begins a request that is not the first one of its flow.
    pub begins_later_request: bool,
    /// Answer that this packet is the first to acknowledge; `None` for all other packets.
    pub answer: Option<AnswerTime>,
}

/// Flows of which this instance has recently seen packets.
#[derive(Debug, Default)]
pub struct FlowTracker {
    half_open: HashMap<FlowEnds, HalfOpenFlow>,
    open: HashMap<FlowEnds, OpenFlow>,
    /// Number of running requests by target index.
    running: HashMap<usize, u32>,
    waiting: WaitingFlows,
    untracked_packets: u64,
}

impl FlowTracker {
    /// Returns the flows whose callers wait for an answer.
    pub fn waiting(&self) -> &WaitingFlows {
        &self.waiting
    }

    /// Returns the number of packets of open flows that were not recorded, since
    /// [`MAX_TRACKED_FLOWS`] other flows were.
    pub fn untracked_packets(&self) -> u64 {
        self.untracked_packets
    }

    /// Returns the flow between `ends` if it is half-open.
    pub fn half_open(&self, ends: &FlowEnds) -> Option<&HalfOpenFlow> {
        self.half_open.get(ends)
    }

    /// Records that an opening packet was forwarded to a target.
    pub fn record_half_open(&mut self, ends: FlowEnds, target: usize, now: Instant) {
        let new_flow =
            || HalfOpenFlow { target, first_sent_at: now, last_sent_at: now, is_timed_out: false };
        let flow = self.half_open.entry(ends).or_insert_with(new_flow);
        flow.target = target;
        flow.last_sent_at = now;
        flow.is_timed_out = false;
        // The caller has closed the earlier flow between these ends, if there was one.
        self.close(&ends);
    }

    /// Returns the estimated number of requests that run at a target through this instance.
    pub fn running_requests(&self, target: usize) -> u32 {
        self.running.get(&target).copied().unwrap_or_default()
    }

    /// Records a packet of an open flow.
    pub fn record_segment(
        &mut self,
        segment: &Segment,
        target: usize,
        now: Instant,
    ) -> Observation {
        let half_open = self.half_open.remove(&segment.ends);
        // After a retransmission it is unknown which copy of the opening packet was answered.
        let first_copy = half_open.as_ref().filter(|flow| flow.first_sent_at == flow.last_sent_at);
        let round_trip = first_copy.map(|flow| now.saturating_duration_since(flow.first_sent_at));
        let mut seen = Observation {
            is_progress: half_open.is_some(),
            handshake_time: half_open.map(|flow| now.saturating_duration_since(flow.first_sent_at)),
            ..Observation::default()
        };
        if segment.control.aborts || segment.control.ends {
            if !segment.control.aborts {
                seen.answer = self.last_answer(segment, now);
            }
            self.close(&segment.ends);
            return seen;
        }
        let is_full = self.open.len() >= MAX_TRACKED_FLOWS;
        let flow = match self.open.entry(segment.ends) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(_) if is_full => {
                self.untracked_packets += 1;
                return seen;
            }
            Entry::Vacant(entry) => entry.insert(OpenFlow {
                target,
                first_seen: now,
                last_seen: now,
                next_seq: segment.seq,
                last_new_data_at: now,
                last_ack: segment.ack,
                running_since: None,
                has_request: !seen.is_progress,
                round_trip,
                is_stalled: false,
            }),
        };
        flow.last_seen = now;
        let has_data = segment.data_len > 0;
        let is_old_data = has_data && is_before(segment.seq, flow.next_seq);
        seen.is_retransmission = is_old_data && now >= flow.last_new_data_at + REORDERING_WINDOW;
        if is_before(flow.last_ack, segment.ack) {
            seen.is_progress = true;
            let length = segment.ack.wrapping_sub(flow.last_ack);
            flow.last_ack = segment.ack;
            self.waiting.end(&segment.ends);
            if let Some(since) = flow.running_since.take() {
                seen.answer = Some(AnswerTime {
                    target: flow.target,
                    response_time: now.saturating_duration_since(since),
                    round_trip: flow.round_trip,
                    length,
                    was_stalled: flow.is_stalled,
                });
                decrement(&mut self.running, flow.target);
            }
        }
        if has_data && !is_old_data {
            flow.last_new_data_at = now;
            flow.next_seq = segment.seq.wrapping_add(u32::from(segment.data_len));
            if flow.running_since.replace(now).is_none() {
                seen.starts_request = true;
                flow.is_stalled = false;
                *self.running.entry(flow.target).or_default() += 1;
                seen.begins_later_request = std::mem::replace(&mut flow.has_request, true);
            }
            if flow.target == target {
                let (opened_at, ack) = (flow.first_seen, flow.last_ack);
                let waiting = WaitingFlow { target, since: now, opened_at, ack };
                self.waiting.start(segment.ends, waiting);
            } else {
                // The ends belong to another flow by now, or the packet is forged.
                self.waiting.end(&segment.ends);
            }
        }
        seen
    }

    /// Returns the answer that the last packet of a flow is the first to acknowledge: a caller may
    /// acknowledge a short answer only as it ends the flow.
    fn last_answer(&self, segment: &Segment, now: Instant) -> Option<AnswerTime> {
        let flow = self.open.get(&segment.ends)?;
        let since = flow.running_since.filter(|_| is_before(flow.last_ack, segment.ack))?;
        Some(AnswerTime {
            target: flow.target,
            response_time: now.saturating_duration_since(since),
            round_trip: flow.round_trip,
            length: segment.ack.wrapping_sub(flow.last_ack),
            was_stalled: flow.is_stalled,
        })
    }

    /// Returns, for each half-open flow that has become unanswered, the target that last got its
    /// opening packet. A flow counts as unanswered once `timeout` has passed since that packet, and
    /// is returned once per packet.
    pub fn take_unanswered(&mut self, now: Instant, timeout: Duration) -> Vec<usize> {
        let mut unresponsive = Vec::new();
        for flow in self.half_open.values_mut() {
            if !flow.is_timed_out && now >= flow.last_sent_at + timeout {
                flow.is_timed_out = true;
                unresponsive.push(flow.target);
            }
        }
        unresponsive
    }

    /// Returns the requests that have stalled since the last call. `stall_time` returns the time without
    /// a packet from which a request to an address and a target counts as stalled; `None` if that is
    /// unknown.
    pub fn take_stalled(
        &mut self,
        now: Instant,
        stall_time: impl Fn(&SocketAddrV4, usize) -> Option<Duration>,
    ) -> Vec<StalledRequest> {
        let mut stalled = Vec::new();
        for ends in self.waiting.ends() {
            let Some(flow) = self.open.get_mut(ends) else { continue };
            if flow.running_since.is_none() || flow.is_stalled {
                continue;
            }
            let silence = now.saturating_duration_since(flow.last_seen);
            if silence < MIN_STALL_TIME {
                continue;
            }
            if stall_time(&ends.service, flow.target).is_some_and(|limit| silence >= limit) {
                flow.is_stalled = true;
                let (target, silent_since) = (flow.target, flow.last_seen);
                stalled.push(StalledRequest { target, service: ends.service, silent_since });
            }
        }
        stalled.sort_by_key(|request| (request.silent_since, request.target));
        stalled
    }

    /// Removes half-open flows without a packet for `half_open_timeout` and open flows without one
    /// for [`IDLE_TIMEOUT`], and stops counting requests without progress for [`REQUEST_TIMEOUT`].
    /// Returns these requests, with the address that the caller sent them to and the time that has
    /// passed instead of a response time.
    pub fn expire(
        &mut self,
        now: Instant,
        half_open_timeout: Duration,
    ) -> Vec<(SocketAddrV4, AnswerTime)> {
        self.half_open.retain(|_, flow| now < flow.last_sent_at + half_open_timeout);
        let running = &mut self.running;
        let mut overdue = Vec::new();
        for (ends, flow) in &mut self.open {
            let Some(since) = flow.running_since.filter(|since| now >= *since + REQUEST_TIMEOUT)
            else {
                continue;
            };
            flow.running_since = None;
            decrement(running, flow.target);
            let response_time = now.saturating_duration_since(since);
            let (target, round_trip) = (flow.target, flow.round_trip);
            let was_stalled = flow.is_stalled;
            let answer = AnswerTime { target, response_time, round_trip, length: 0, was_stalled };
            overdue.push((ends.service, answer));
        }
        let waiting = &mut self.waiting;
        self.open.retain(|ends, flow| {
            let is_kept = now < flow.last_seen + IDLE_TIMEOUT;
            if !is_kept {
                waiting.end(ends);
            }
            is_kept
        });
        overdue
    }

    /// Returns the number of open flows that are tracked.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no open flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Stops tracking a flow.
    pub fn close(&mut self, ends: &FlowEnds) {
        self.waiting.end(ends);
        if let Some(flow) = self.open.remove(ends) {
            if flow.running_since.is_some() {
                decrement(&mut self.running, flow.target);
            }
        }
    }
}

fn decrement(running: &mut HashMap<usize, u32>, target: usize) {
    if let Some(count) = running.get_mut(&target) {
        *count = count.saturating_sub(1);
    }
}

/// Returns whether sequence number `a` precedes `b`, modulo 2^32.
fn is_before(a: u32, b: u32) -> bool {
    a != b && b.wrapping_sub(a) < 1 << 31
}
