//! Decision on a packet that opens a flow: it is placed on a target, held for a while, or refused.

use std::time::Duration;

use tokio::time::Instant;

use crate::cookie_verdict::ResetReason;
use crate::ids::ServiceId;
use crate::room::ServiceRoom;
use crate::route_table::RouteTable;
use crate::route_work::Answer;
use crate::segment::{FlowEnds, Segment};

/// Time from the first transmission of an opening packet to each retransmission by its caller.
const COPY_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time that a request spends at its target, in multiples of its work. The rest is the queue of a
/// target that runs close to its capacity.
const RESPONSE_TIME_IN_WORK: u32 = 3;

/// Opening of a flow, as an [`OpeningPolicy`] sees it.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Endpoints of the flow.
    pub ends: FlowEnds,
    /// Service that the flow's route selects.
    pub service: ServiceId,
    /// Precedence of the route, from 0 (highest) to 255.
    pub precedence: u8,
    /// Latency objective of the route's requests; zero if there is none.
    pub aim: Duration,
    /// Timeout of the route's requests; zero if there is none.
    pub timeout: Duration,
    /// Time for which a request of the route occupies a slot; zero while it is unknown.
    pub work: Duration,
    /// Time at which the caller sent the first transmission of the opening packet, as far as this
    /// instance can tell from the copies that it got.
    pub first_sent_at: Instant,
}

/// Rank of an opening among those that wait for the same service. The lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpeningRank {
    precedence: u8,
    is_late: bool,
    slack_micros: i64,
    first_sent_at: Instant,
}

impl Opening {
    /// Returns the time since the first transmission of the opening packet.
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_sent_at)
    }

    /// Returns the time for which the opening can wait and meet its aim, from the first transmission
    /// on. Without an aim the timeout counts.
    pub fn slack(&self) -> Duration {
        let aim = if self.aim.is_zero() { self.timeout } else { self.aim };
        if aim.is_zero() {
            return Duration::MAX;
        }
        aim.saturating_sub(self.work * RESPONSE_TIME_IN_WORK)
    }

    /// Returns the slack that is left, in microseconds; negative once the opening can't meet its
    /// aim.
    pub fn slack_micros(&self, now: Instant) -> i64 {
        micros(self.slack()).saturating_sub(micros(self.waited(now)))
    }

    /// Returns the rank by precedence, then by slack. An opening that can't meet its aim any more
    /// comes after those of its precedence that can.
    pub fn rank(&self, now: Instant) -> OpeningRank {
        let slack_micros = self.slack_micros(now);
        OpeningRank {
            precedence: self.precedence,
            is_late: slack_micros < 0,
            slack_micros,
            first_sent_at: self.first_sent_at,
        }
    }
}

/// Returns the time at which the caller sent the first transmission of an opening packet of which
/// a copy arrives now.
pub fn first_transmission(segment: &Segment, now: Instant) -> Instant {
    let copy = usize::try_from(segment.ack).unwrap_or(usize::MAX).min(COPY_DELAYS.len() - 1);
    now.checked_sub(COPY_DELAYS[copy]).unwrap_or(now)
}

/// Decision on the opening of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpeningDecision {
    /// The flow goes to a target now.
    Place,
    /// The packet waits at this instance until the policy releases it.
    Hold,
    /// The flow is reset.
    Refuse(ResetReason),
}

/// Decides which openings are placed, held and refused. It is asked before a target is chosen, and
/// again for each held opening in the order of [`Opening::rank`].
pub trait OpeningPolicy: Send + std::fmt::Debug {
    /// Sets the routes in force.
    fn set_routes(&mut self, _routes: &RouteTable) {}

    /// Returns the decision on an opening. `room` is `None` while the room of the service is
    /// unknown; `ahead` is the number of held openings of the service that rank before this one.
    fn decide(
        &mut self,
        opening: &Opening,
        room: Option<&ServiceRoom>,
        ahead: usize,
        now: Instant,
    ) -> OpeningDecision;

    /// Records the answer to a request that this instance placed.
    fn record_answer(&mut self, _service: &ServiceId, _answer: Answer, _now: Instant) {}

    /// Records a request in a flow that is open already, which uses room without an opening.
    fn record_request(&mut self, _service: &ServiceId, _room: Option<&ServiceRoom>, _now: Instant) {
    }
}

/// Policy that places every opening at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceAtOnce;

impl OpeningPolicy for PlaceAtOnce {
    fn decide(
        &mut self,
        _: &Opening,
        _: Option<&ServiceRoom>,
        _: usize,
        _: Instant,
    ) -> OpeningDecision {
        OpeningDecision::Place
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
