//! Admission of openings: asks the policy, keeps held openings in the queue and releases them in
//! order, and records the inputs of each decision for logs and metrics.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::cookie_verdict::{CookieVerdict, ResetReason};
use crate::ids::ServiceId;
use crate::opening::{Opening, OpeningDecision, OpeningPolicy};
use crate::opening_queue::{HeldOpening, OpeningQueue};
use crate::room::ServiceRoom;
use crate::route_table::RouteTable;
use crate::route_work::Answer;
use crate::segment::{FlowEnds, Segment};

/// Room of the services by name.
pub type Rooms = HashMap<ServiceId, ServiceRoom>;

/// Opening that was held, released or refused, with the inputs of the decision.
#[derive(Clone, Debug)]
pub struct OpeningOutcome {
    /// Label of the outcome: `held`, `released`, or that of a [`ResetReason`].
    pub outcome: &'static str,
    /// Opening that the decision is about.
    pub opening: Opening,
    /// Time since the first transmission of the opening packet.
    pub waited: Duration,
    /// Time for which the opening could wait and still meet its aim, in microseconds.
    pub slack_micros: i64,
    /// Room of the service; `None` if it was unknown.
    pub room: Option<ServiceRoom>,
    /// Packet that is no longer held, with its verdict; `None` if the packet is still held or was
    /// refused on its arrival.
    pub packet: Option<ReleasedPacket>,
}

/// Opening packet that was held, with the verdict on it.
#[derive(Clone, Debug)]
pub struct ReleasedPacket {
    /// Decoded header of the packet.
    pub segment: Segment,
    /// Whole packet.
    pub datagram: Vec<u8>,
    /// Verdict on the packet.
    pub verdict: CookieVerdict,
}

/// Decides which openings are placed, held and refused, and keeps the held ones.
#[derive(Debug)]
pub struct OpeningAdmission {
    policy: Box<dyn OpeningPolicy>,
    queue: OpeningQueue,
    outcomes: Vec<OpeningOutcome>,
    is_closed: bool,
}

impl OpeningAdmission {
    /// Creates an admission without held openings.
    pub fn new(policy: Box<dyn OpeningPolicy>) -> Self {
        let (queue, outcomes) = (OpeningQueue::default(), Vec::new());
        Self { policy, queue, outcomes, is_closed: false }
    }

    /// Sets the routes in force.
    pub fn set_routes(&mut self, routes: &RouteTable) {
        self.policy.set_routes(routes);
    }

    /// Stops holding openings: from now on each one is placed at once.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the number of held openings.
    pub fn held(&self) -> usize {
        self.queue.len()
    }

    /// Replaces the packet of a held opening by a copy that its caller has sent, and returns the
    /// service of the opening. Returns `None` if the flow's opening is not held.
    pub fn replace_copy(
        &mut self,
        segment: &Segment,
        datagram: &[u8],
        rooms: &Rooms,
        now: Instant,
    ) -> Option<ServiceId> {
        let service = self.queue.replace_copy(segment, datagram)?;
        self.refuse_excess(rooms, now);
        Some(service)
    }

    /// Refuses openings until the queue is within its bounds.
    fn refuse_excess(&mut self, rooms: &Rooms, now: Instant) {
        while let Some(excess) = self.queue.take_excess(now) {
            self.finish(excess, CookieVerdict::Reset(ResetReason::NoRoom), rooms, now);
        }
    }

    /// Returns the decision on an opening that arrives, and keeps its packet if it is held.
    pub fn admit(
        &mut self,
        opening: Opening,
        packet: (&Segment, &[u8]),
        rooms: &Rooms,
        now: Instant,
    ) -> OpeningDecision {
        if self.is_closed {
            return OpeningDecision::Place;
        }
        let ahead = self.queue.count_ahead(&opening, now);
        let room = rooms.get(&opening.service);
        let decision = self.policy.decide(&opening, room, ahead, now);
        match decision {
            OpeningDecision::Place => {}
            OpeningDecision::Refuse(reason) => {
                self.record(reason.label(), opening, room, None, now);
            }
            OpeningDecision::Hold => {
                self.record("held", opening.clone(), room, None, now);
                let (segment, datagram) = (*packet.0, packet.1.to_vec());
                self.queue.push(HeldOpening { opening, segment, datagram });
                self.refuse_excess(rooms, now);
            }
        }
        decision
    }

    /// Removes and returns the held openings of all services that are placed or refused now, in
    /// order. The caller of the method passes each one with its verdict to [`Self::finish`].
    pub fn take_decided(
        &mut self,
        rooms: &Rooms,
        now: Instant,
    ) -> Vec<(HeldOpening, OpeningDecision)> {
        let held = self.queue.take_in_order(now);
        self.decide_held(held, rooms, now)
    }

    /// Does what [`Self::take_decided`] does for the openings of one service.
    pub fn take_decided_of(
        &mut self,
        service: &str,
        rooms: &Rooms,
        now: Instant,
    ) -> Vec<(HeldOpening, OpeningDecision)> {
        let held = self.queue.take_service_in_order(service, now);
        self.decide_held(held, rooms, now)
    }

    /// Decides on openings that were taken out of the queue, and puts those back that wait on.
    fn decide_held(
        &mut self,
        held: Vec<HeldOpening>,
        rooms: &Rooms,
        now: Instant,
    ) -> Vec<(HeldOpening, OpeningDecision)> {
        let mut decided = Vec::new();
        let mut ahead = HashMap::<ServiceId, usize>::default();
        for held in held {
            let service = &held.opening.service;
            let before = ahead.get(service).copied().unwrap_or_default();
            let decision = if self.is_closed {
                OpeningDecision::Place
            } else {
                self.policy.decide(&held.opening, rooms.get(service), before, now)
            };
            if decision == OpeningDecision::Hold {
                *ahead.entry(service.clone()).or_default() += 1;
                self.queue.push(held);
            } else {
                decided.push((held, decision));
            }
        }
        decided
    }

    /// Removes and returns all held openings in order.
    pub fn take_held(&mut self, now: Instant) -> Vec<HeldOpening> {
        self.queue.take_in_order(now)
    }

    /// Puts an opening back that [`Self::take_held`] returned.
    pub fn put_back(&mut self, held: HeldOpening) {
        self.queue.push(held);
    }

    /// Records the verdict on an opening that is no longer held.
    pub fn finish(
        &mut self,
        held: HeldOpening,
        verdict: CookieVerdict,
        rooms: &Rooms,
        now: Instant,
    ) {
        let outcome = match verdict {
            CookieVerdict::Reset(reason) => reason.label(),
            CookieVerdict::Drop(reason) => reason.label(),
            CookieVerdict::Forward { .. } | CookieVerdict::Hold => "released",
        };
        if matches!(verdict, CookieVerdict::Forward { .. }) {
            self.queue.record_released(held.opening.ends, now);
        }
        let room = rooms.get(&held.opening.service);
        let (segment, datagram) = (held.segment, held.datagram);
        let packet = ReleasedPacket { segment, datagram, verdict };
        self.record(outcome, held.opening, room, Some(packet), now);
    }

    /// Returns whether the opening of a flow was released within the last `window`.
    pub fn was_released(&self, ends: &FlowEnds, window: Duration, now: Instant) -> bool {
        self.queue.was_released(ends, window, now)
    }

    /// Forgets flows whose opening was released longer than `window` ago.
    pub fn expire_released(&mut self, window: Duration, now: Instant) {
        self.queue.expire_released(window, now);
    }

    /// Records the answer to a request that this instance placed.
    pub fn record_answer(&mut self, service: &ServiceId, answer: Answer, now: Instant) {
        self.policy.record_answer(service, answer, now);
    }

    /// Records a request in a flow that is open already.
    pub fn record_request(&mut self, service: &ServiceId, rooms: &Rooms, now: Instant) {
        self.policy.record_request(service, rooms.get(service), now);
    }

    /// Returns the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<OpeningOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    fn record(
        &mut self,
        outcome: &'static str,
        opening: Opening,
        room: Option<&ServiceRoom>,
        packet: Option<ReleasedPacket>,
        now: Instant,
    ) {
        let (waited, slack_micros) = (opening.waited(now), opening.slack_micros(now));
        let room = room.cloned();
        self.outcomes.push(OpeningOutcome { outcome, opening, waited, slack_micros, room, packet });
    }
}
