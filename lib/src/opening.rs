//! Decision on a packet that opens a flow: it is placed on a target, held for a while, or refused.

use std::time::Duration;

use tokio::time::Instant;

use crate::cookie_verdict::ResetReason;
use crate::ids::ServiceId;
use crate::room::ServiceRoom;
use crate::segment::FlowEnds;

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
    /// Time at which this instance got the first transmission of the opening packet.
    pub first_seen_at: Instant,
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

/// Decides which openings are placed, held and refused. It is asked before a target is chosen.
pub trait OpeningPolicy: Send + std::fmt::Debug {
    /// Returns the decision on an opening. `room` is `None` while the room of the service is
    /// unknown.
    fn decide(
        &mut self,
        opening: &Opening,
        room: Option<&ServiceRoom>,
        now: Instant,
    ) -> OpeningDecision;
}

/// Policy that places every opening at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceAtOnce;

impl OpeningPolicy for PlaceAtOnce {
    fn decide(&mut self, _: &Opening, _: Option<&ServiceRoom>, _: Instant) -> OpeningDecision {
        OpeningDecision::Place
    }
}
