//! Openings at the packet forwarder: an opening is placed on a target, held for a while, or refused.

use tokio::time::Instant;

use super::{CookieForwarder, MAX_ROUTING_AGE};
use crate::circuit_breaker::BreakerState;
use crate::cookie_verdict::{CookieVerdict, DropReason, ResetReason};
use crate::ids::{DataCentreId, ServiceId};
use crate::opening::{first_transmission, Opening, OpeningDecision};
use crate::opening_admission::OpeningOutcome;
use crate::opening_queue::HeldOpening;
use crate::route_table::RouteLookup;
use crate::segment::Segment;
use crate::target_choice::TargetChoice;
use crate::target_health::HANDSHAKE_TIMEOUT;

impl CookieForwarder {
    /// Returns the number of openings that are held until their service has room.
    pub fn held_openings(&self) -> usize {
        self.admission.held()
    }

    /// Returns the openings that were held, released or refused since the last call.
    pub fn take_opening_outcomes(&mut self) -> Vec<OpeningOutcome> {
        self.admission.take_outcomes()
    }

    /// Places all held openings in order. From now on openings are placed at once.
    pub fn close_openings(&mut self, now: Instant) {
        self.admission.close();
        self.release_openings(now);
    }

    pub(super) fn on_opening_packet(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Instant,
    ) -> CookieVerdict {
        let held = self.admission.replace_copy(segment, packet, &self.rooms, now);
        if let Some(service) = held {
            self.release_openings_of(&service, now);
            return CookieVerdict::Hold;
        }
        let opening = match self.opening_of(segment, now) {
            Ok(opening) => opening,
            Err(verdict) => return verdict,
        };
        let service = opening.service.clone();
        self.release_openings_of(&service, now);
        if let Some(last) = self.watch.half_open(&segment.ends).map(|opening| opening.target) {
            // A copy that follows the release of a held opening closely does not show a failure.
            if self.admission.was_released(&segment.ends, HANDSHAKE_TIMEOUT, now)
                && self.targets.get(last).accepts_new_flows()
            {
                return self.forward_to_chosen(segment, last, now);
            }
            // The failure makes the target suspected, so that a retransmission goes to another one.
            self.targets.health_mut(last).record_failure(now);
        } else {
            match self.admission.admit(opening, (segment, packet), &self.rooms, now) {
                OpeningDecision::Place => {}
                OpeningDecision::Hold => return CookieVerdict::Hold,
                OpeningDecision::Refuse(reason) => return CookieVerdict::Reset(reason),
            }
        }
        self.place(segment, &service, now)
    }

    /// Returns the opening that a packet asks for, or the verdict on the packet if its address has no
    /// route or the route has no service.
    pub(super) fn opening_of(
        &self,
        segment: &Segment,
        now: Instant,
    ) -> Result<Opening, CookieVerdict> {
        let entry = match self.routes.lookup(&segment.ends.service) {
            RouteLookup::Route(entry) => entry,
            RouteLookup::Removed | RouteLookup::Unknown => {
                return Err(self.reject_unknown_address(now));
            }
        };
        let service = entry.select_service(self.hash(segment));
        let service = service.ok_or(CookieVerdict::Reset(ResetReason::NoTarget))?;
        let route = &entry.route;
        Ok(Opening {
            ends: segment.ends,
            service: service.clone(),
            precedence: route.precedence,
            aim: route.aim,
            timeout: route.timeout,
            work: self.work.work(&route.name, service).unwrap_or_default(),
            first_sent_at: first_transmission(segment, now),
        })
    }

    /// Places or refuses the held openings that need not wait any longer.
    pub(super) fn release_openings(&mut self, now: Instant) {
        if self.admission.held() == 0 {
            return;
        }
        let decided = self.admission.take_decided(&self.rooms, now);
        self.carry_out_decided(decided, now);
    }

    /// Places the held openings whose route has changed, and rejects those whose route was removed.
    pub(super) fn release_rerouted_openings(&mut self, now: Instant) {
        for held in self.admission.take_held(now) {
            let verdict = match self.opening_of(&held.segment, now) {
                Ok(opening) if has_same_route(&opening, &held) => {
                    self.admission.put_back(held);
                    continue;
                }
                Ok(opening) => self.place(&held.segment, &opening.service, now),
                Err(verdict) => verdict,
            };
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    /// Places or refuses the held openings of one service that need not wait any longer.
    pub(super) fn release_openings_of(&mut self, service: &str, now: Instant) {
        if self.admission.held() == 0 {
            return;
        }
        let decided = self.admission.take_decided_of(service, &self.rooms, now);
        self.carry_out_decided(decided, now);
    }

    pub(super) fn carry_out_decided(
        &mut self,
        decided: Vec<(HeldOpening, OpeningDecision)>,
        now: Instant,
    ) {
        for (held, decision) in decided {
            let verdict = match decision {
                OpeningDecision::Refuse(reason) => CookieVerdict::Reset(reason),
                _ => self.place(&held.segment, &held.opening.service, now),
            };
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    /// Places all held openings in order.
    pub(super) fn place_held_openings(&mut self, now: Instant) {
        for held in self.admission.take_held(now) {
            let verdict = self.place(&held.segment, &held.opening.service, now);
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    pub(super) fn place(
        &mut self,
        segment: &Segment,
        service: &ServiceId,
        now: Instant,
    ) -> CookieVerdict {
        match self.choose_target(service, segment, now) {
            Some(index) => {
                self.room_table.demand.record_opening(service, now);
                self.forward_to_chosen(segment, index, now)
            }
            None => {
                self.room_table.demand.record_refused(service, now);
                CookieVerdict::Reset(ResetReason::NoTarget)
            }
        }
    }

    /// Returns the data centre to which a new flow spills over; `None` if it stays. A copy of an
    /// opening stays, since the data centre that got the first one may be cut off.
    pub(super) fn spill_destination(
        &self,
        service: &str,
        segment: &Segment,
    ) -> Option<&DataCentreId> {
        let is_copy = segment.ack > 0 || self.watch.half_open(&segment.ends).is_some();
        let spillover = self.spillovers.get(service).filter(|_| !is_copy)?;
        spillover.destination(self.hash(segment))
    }

    pub(super) fn reject_unknown_address(&self, now: Instant) -> CookieVerdict {
        let is_current = self.routing_confirmed_at.is_some_and(|at| now < at + MAX_ROUTING_AGE);
        if is_current {
            CookieVerdict::Reset(ResetReason::NoRoute)
        } else {
            CookieVerdict::Drop(DropReason::RouteInDoubt)
        }
    }

    pub(super) fn forward_to_chosen(
        &mut self,
        segment: &Segment,
        index: usize,
        now: Instant,
    ) -> CookieVerdict {
        self.watch.record_half_open(segment.ends, index, now);
        self.targets.record_chosen(index);
        let entry = self.targets.get_mut(index);
        if entry.breaker() == BreakerState::HalfOpen {
            entry.trial_flow_counter.record(now);
        }
        if entry.is_cold(now) {
            entry.cold_flow_counter.record(now);
        }
        CookieVerdict::Forward {
            to: entry.address(),
            token: entry.registration.token,
            cookie: entry.cookie,
            opens: true,
        }
    }

    pub(super) fn choose_target(
        &self,
        service: &str,
        segment: &Segment,
        now: Instant,
    ) -> Option<usize> {
        let local = TargetChoice {
            instance: &self.setup.id,
            data_centre: &self.setup.data_centre,
            cold_start_limit: self.setup.cold_start_limit,
            targets: &self.targets,
            routes: &self.routes,
            flows: &self.watch,
            view: &self.view,
        };
        let destination = self.spill_destination(service, segment);
        let spilled = destination.map(|data_centre| TargetChoice { data_centre, ..local.clone() });
        // The targets of the destination may be gone since the share was computed.
        let spilled = spilled.filter(|choice| choice.has_preferred(service, now));
        let is_repeatable = self.is_repeatable(&segment.ends);
        spilled.unwrap_or(local).choose(service, is_repeatable, now)
    }
}

/// Returns whether a held opening would be the same with the routes in force.
fn has_same_route(opening: &Opening, held: &HeldOpening) -> bool {
    let requirements = |it: &Opening| (it.service.clone(), it.precedence, it.aim, it.timeout);
    requirements(opening) == requirements(&held.opening)
}
