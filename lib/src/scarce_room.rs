//! Policy for the openings of a service whose callers ask for more than its targets can serve.
//!
//! Load pattern: demand beyond the capacity of all targets of a service, spread by a hash over many
//! instances, from routes of different precedence, latency objective or timeout. Each instance
//! places openings at its share of the capacity, so that the sum over all instances stays at the
//! capacity without a message for a flow. The most urgent openings may run ahead of the rate by a
//! bounded amount, and each precedence keeps a small share. While the figures are missing or
//! show enough room, every opening is placed at once.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::{HashMap, HashSet};
use crate::cookie_verdict::ResetReason;
use crate::ids::ServiceId;
use crate::opening::{Opening, OpeningDecision, OpeningPolicy};
use crate::room::{Demand, ServiceRoom};
use crate::route::Route;
use crate::route_table::RouteTable;
use crate::route_work::Answer;

/// Longest time from the first transmission of an opening for which it is held. The caller gives
/// the attempt up after 1.4 s, and the flow has to open and run before.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(800);
/// Shortest limit on the time for which an opening is held; a shorter hold
/// could end before the next tick of the forwarder looks at the opening.
const MIN_HOLD_TIME: Duration = Duration::from_millis(60);
/// Part of the slack of a request for which one of its attempts is held, as a divisor. The caller
/// has three attempts, and a request that was held for its whole slack would be answered late and
/// take the room of one that is answered in time.
const HOLD_TIME_DIVISOR: u32 = 4;
/// Rate of placed openings relative to the capacity. The excess keeps a request waiting at each
/// target, so that no slot idles, and shows whether the targets can serve more than the figures say.
const PACE_SHARE: f64 = 1.06;
/// Demand relative to the capacity from which room counts as scarce. The capacity is at least what
/// the targets serve, so a demand above it shows that requests are turned away.
const SCARCE_DEMAND_SHARE: f64 = 1.05;
/// Demand relative to the limit in force below which room no longer counts as scarce. Less than
/// [`PACE_SHARE`], so that paced openings alone do not end the scarcity.
const AMPLE_DEMAND_SHARE: f64 = 1.03;
/// Share of requests of all instances turned away by full targets from which room counts as scarce.
const SCARCE_TURNED_AWAY_SHARE: f64 = 0.1;
/// Share of requests turned away among the recent answers at this instance from which room counts as
/// scarce. The answers are few, so a smaller share may be chance.
const SCARCE_RECENT_SHARE: f64 = 0.3;
/// Share of requests turned away by full targets below which room no longer counts as scarce.
const AMPLE_TURNED_AWAY_SHARE: f64 = 0.05;
/// Share of requests turned away from which the limit follows what the targets serve. An urgent
/// request that is turned away once is served on its next attempt.
const EXCESSIVE_TURNED_AWAY_SHARE: f64 = 0.2;
/// Growth of the limit per second after it was lowered, as a multiple of the limit. Targets that were full
/// for a moment serve as much as before soon after.
const LIMIT_GROWTH_PER_SECOND: f64 = 2.0;
/// Part of the capacity below which the limit is never lowered.
const MIN_LIMIT_SHARE: f64 = 0.7;
/// Lowest rate of one instance, in requests per second, so that an instance whose share is still
/// counted as 0 places some openings.
const MIN_RATE: f64 = 1.0;
/// Size of the token bucket, as time at the rate: room that was not used for longer is lost.
const BURST_TIME: Duration = Duration::from_millis(150);
/// Time by which openings may run ahead of the rate for each less urgent precedence that is in use.
/// The queues of the targets absorb it.
const OVERDRAFT_TIME: Duration = Duration::from_millis(100);
/// Least number of requests by which openings may run ahead of the rate for each less urgent
/// precedence.
const MIN_OVERDRAFT: f64 = 3.0;
/// Largest number of less urgent precedences that count for an overdraft, which bounds it to 0.3 s
/// of the rate.
const MAX_OVERDRAFT_STEPS: usize = 3;
/// Share of the rate that each precedence keeps.
pub const GUARANTEED_SHARE: f64 = 0.05;
/// Share of the rate that all precedences in use keep together, at most. The rest goes by urgency.
const MAX_GUARANTEED_SHARE: f64 = 0.5;
/// Time constant of the average of this instance's share. The figure compares own requests with an
/// older sum over all instances, so it is wrong while either changes.
const OWN_SHARE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Number of recent answers that are averaged.
const MAX_RECENT_ANSWERS: u32 = 12;
/// Number of answers from which their average is used.
const MIN_RECENT_ANSWERS: u32 = 8;
/// Time without an answer after which the average is out of date.
const RECENT_ANSWER_AGE: Duration = Duration::from_secs(1);
/// Time without an opening after which a precedence no longer counts as in use.
const PRECEDENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Figures of a service that the policy depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomFigures {
    /// Requests per second that all targets can serve.
    pub capacity: f64,
    /// Requests per second that the callers of all data centres send.
    pub demand: Demand,
    /// Share of the demand that arrives at this instance.
    pub own_share: f64,
}

impl RoomFigures {
    /// Returns the figures of a service; `None` if one of them is missing.
    pub fn of(room: &ServiceRoom) -> Option<Self> {
        let (capacity, demand) = (room.capacity_per_second()?, room.demand()?);
        let own_share = room.own_share?;
        let is_valid = [capacity, demand.requests_per_second, own_share].iter().all(is_usable);
        is_valid.then_some(Self { capacity, demand, own_share })
    }

    fn turned_away_share(&self) -> f64 {
        self.demand.turned_away_per_second / self.demand.requests_per_second.max(1.0)
    }
}

/// Policy that places the openings of a service with too little room by their urgency, at this
/// instance's share of the capacity.
#[derive(Debug, Default)]
pub struct ScarceRoom {
    /// Services with routes of different precedence, latency objective or timeout.
    ranked: HashSet<ServiceId>,
    paces: HashMap<ServiceId, Pace>,
}

impl ScarceRoom {
    /// Sets the services whose routes differ in precedence, latency objective or timeout.
    pub fn set_ranked_services<'a>(&mut self, routes: impl Iterator<Item = &'a Route>) {
        let mut requirements = HashMap::<&ServiceId, (u8, Duration, Duration)>::default();
        self.ranked.clear();
        for route in routes {
            let own = (route.precedence, route.aim, route.timeout);
            for share in &route.services {
                if *requirements.entry(&share.service).or_insert(own) != own {
                    self.ranked.insert(share.service.clone());
                }
            }
        }
        self.paces.retain(|service, _| self.ranked.contains(service));
    }

    /// Returns the up-to-date pace of a service; `None` if the policy does not apply to it.
    fn pace(
        &mut self,
        service: &ServiceId,
        room: Option<&ServiceRoom>,
        now: Instant,
    ) -> Option<&mut Pace> {
        let figures = room.and_then(RoomFigures::of).filter(|_| self.ranked.contains(service));
        let Some(figures) = figures else {
            self.paces.remove(service);
            return None;
        };
        let new_pace = || Pace::new(&figures, now);
        let pace = self.paces.entry(service.clone()).or_insert_with(new_pace);
        pace.update(&figures, now);
        Some(pace)
    }
}

impl OpeningPolicy for ScarceRoom {
    fn set_routes(&mut self, routes: &RouteTable) {
        self.set_ranked_services(routes.routes());
    }

    fn decide(
        &mut self,
        opening: &Opening,
        room: Option<&ServiceRoom>,
        ahead: usize,
        now: Instant,
    ) -> OpeningDecision {
        match self.pace(&opening.service, room, now) {
            Some(pace) => pace.decide(opening, ahead, now),
            None => OpeningDecision::Place,
        }
    }

    fn record_answer(&mut self, service: &ServiceId, answer: Answer, now: Instant) {
        if let Some(pace) = self.paces.get_mut(service) {
            pace.answers.record(answer, now);
        }
    }

    fn record_request(&mut self, service: &ServiceId, room: Option<&ServiceRoom>, now: Instant) {
        if let Some(pace) = self.pace(service, room, now) {
            let lowest = -pace.overdraft_step();
            if pace.balance > lowest {
                pace.balance = (pace.balance - 1.0).max(lowest);
            }
        }
    }
}

/// Token bucket of one service, with the precedences that use it.
#[derive(Debug)]
struct Pace {
    is_scarce: bool,
    /// Requests per second that all instances together may place.
    limit: f64,
    /// Average of this instance's share of the demand.
    own_share: f64,
    /// Requests per second that this instance may place.
    rate: f64,
    /// Requests that this instance may place now; negative after some ran ahead of the rate.
    balance: f64,
    updated_at: Instant,
    answers: TurnedAwayAverage,
    precedences: BTreeMap<u8, Precedence>,
}

/// Average over the recent answers to requests that this instance placed. It shows full targets
/// earlier than the figures of all instances.
#[derive(Clone, Copy, Debug, Default)]
struct TurnedAwayAverage {
    turned_away_share: f64,
    count: u32,
    last_at: Option<Instant>,
}

impl TurnedAwayAverage {
    fn record(&mut self, answer: Answer, now: Instant) {
        if !self.is_recent(now) {
            *self = Self::default();
        }
        self.last_at = Some(now);
        self.count = (self.count + 1).min(MAX_RECENT_ANSWERS);
        let turned_away = if answer == Answer::TurnedAway { 1.0 } else { 0.0 };
        self.turned_away_share += (turned_away - self.turned_away_share) / f64::from(self.count);
    }

    /// Returns the share of requests turned away; `None` if there are too few recent answers.
    fn turned_away_share(&self, now: Instant) -> Option<f64> {
        let is_known = self.count >= MIN_RECENT_ANSWERS && self.is_recent(now);
        is_known.then_some(self.turned_away_share)
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.last_at.is_some_and(|at| now < at + RECENT_ANSWER_AGE)
    }
}

/// State of the openings of one precedence.
#[derive(Debug)]
struct Precedence {
    last_seen_at: Instant,
    /// Openings that may be placed from the guaranteed share.
    credit: f64,
}

impl Precedence {
    fn is_in_use(&self, now: Instant) -> bool {
        now < self.last_seen_at + PRECEDENCE_TIMEOUT
    }
}

impl Pace {
    fn new(figures: &RoomFigures, now: Instant) -> Self {
        Self {
            is_scarce: false,
            limit: figures.capacity,
            own_share: figures.own_share,
            rate: 0.0,
            balance: 0.0,
            updated_at: now,
            answers: TurnedAwayAverage::default(),
            precedences: BTreeMap::new(),
        }
    }

    fn update(&mut self, figures: &RoomFigures, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let turned_away = self.answers.turned_away_share(now);
        let turned_away = turned_away.unwrap_or_else(|| figures.turned_away_share());
        self.update_limit(figures, turned_away, elapsed);
        let was_scarce = self.is_scarce;
        self.is_scarce = self.is_scarce_now(figures, turned_away);
        let weight = 1.0 - (-elapsed / OWN_SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        self.own_share += (figures.own_share - self.own_share) * weight;
        self.rate = (self.limit * PACE_SHARE * self.own_share).max(MIN_RATE);
        self.refill(if was_scarce { elapsed } else { 0.0 });
    }

    /// Adds the room of a time during which room was scarce.
    fn refill(&mut self, elapsed: f64) {
        if elapsed == 0.0 && !self.is_scarce {
            self.balance = 0.0;
            return;
        }
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.balance = (self.balance + self.rate * elapsed).min(burst);
        let guaranteed = self.guaranteed_rate() * elapsed;
        for precedence in self.precedences.values_mut() {
            let credit = precedence.credit + guaranteed;
            precedence.credit = credit.min(1.0);
        }
    }

    /// Follows what the targets serve while they turn away many requests, and else rises to the
    /// capacity. Figures from before the scarcity show what callers asked for, not what the targets
    /// can serve.
    fn update_limit(&mut self, figures: &RoomFigures, turned_away: f64, elapsed: f64) {
        let shows_served = figures.turned_away_share() > SCARCE_TURNED_AWAY_SHARE;
        if turned_away > EXCESSIVE_TURNED_AWAY_SHARE && shows_served {
            self.limit = figures.demand.served_per_second();
        } else if self.is_scarce {
            self.limit *= 1.0 + LIMIT_GROWTH_PER_SECOND * elapsed;
        } else {
            self.limit = figures.capacity;
        }
        let lowest = figures.capacity * MIN_LIMIT_SHARE;
        self.limit = self.limit.clamp(lowest, figures.capacity);
    }

    fn is_scarce_now(&self, figures: &RoomFigures, turned_away: f64) -> bool {
        let demand = figures.demand.requests_per_second;
        if self.is_scarce {
            demand > self.limit * AMPLE_DEMAND_SHARE || turned_away > AMPLE_TURNED_AWAY_SHARE
        } else {
            demand > figures.capacity * SCARCE_DEMAND_SHARE
                || figures.turned_away_share() > SCARCE_TURNED_AWAY_SHARE
                || turned_away > SCARCE_RECENT_SHARE
        }
    }

    fn decide(&mut self, opening: &Opening, ahead: usize, now: Instant) -> OpeningDecision {
        let new_precedence = || Precedence { last_seen_at: now, credit: 0.0 };
        let precedence = self.precedences.entry(opening.precedence).or_insert_with(new_precedence);
        precedence.last_seen_at = now;
        if !self.is_scarce {
            return OpeningDecision::Place;
        }
        if self.take_room(opening.precedence, now) {
            return OpeningDecision::Place;
        }
        let waited = opening.waited(now);
        let wait = self.wait(opening.precedence, ahead, now);
        let placed_after = waited.saturating_add(wait);
        let answered_after = placed_after.saturating_add(opening.work);
        if !opening.timeout.is_zero() && answered_after >= opening.timeout {
            OpeningDecision::Refuse(ResetReason::NoTime)
        } else if placed_after >= hold_limit(opening) {
            OpeningDecision::Refuse(ResetReason::NoRoom)
        } else {
            OpeningDecision::Hold
        }
    }

    /// Returns the time until an opening gets its turn, with `ahead` others before it, from the
    /// rate or from the guaranteed share of its precedence.
    fn wait(&self, precedence: u8, ahead: usize, now: Instant) -> Duration {
        let ahead = ahead as f64;
        let deficit = (-self.overdraft(precedence, now) - self.balance).max(0.0);
        let from_rate = (ahead + deficit) / self.rate;
        let credit = self.precedences.get(&precedence).map_or(0.0, |it| it.credit);
        let from_guaranteed = (ahead + 1.0 - credit) / self.guaranteed_rate();
        let seconds = from_rate.min(from_guaranteed).max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the openings per second that each precedence keeps.
    fn guaranteed_rate(&self) -> f64 {
        let in_use = self.precedences.values().filter(|it| it.is_in_use(self.updated_at)).count();
        self.rate * GUARANTEED_SHARE.min(MAX_GUARANTEED_SHARE / in_use.max(1) as f64)
    }

    /// Takes the room for one request, and returns whether there was any.
    fn take_room(&mut self, precedence: u8, now: Instant) -> bool {
        let has_room = self.balance > -self.overdraft(precedence, now);
        if !has_room && !self.take_guaranteed(precedence) {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Takes one request from the guaranteed share of a precedence, and returns whether there was
    /// one.
    fn take_guaranteed(&mut self, precedence: u8) -> bool {
        let Some(state) = self.precedences.get_mut(&precedence) else { return false };
        if state.credit < 1.0 {
            return false;
        }
        state.credit -= 1.0;
        true
    }

    /// Returns the number of requests by which openings of a precedence may run ahead of the rate:
    /// a step for each less urgent precedence that is in use.
    fn overdraft(&self, precedence: u8, now: Instant) -> f64 {
        let lower = self.precedences.range(precedence..).skip(1);
        let in_use = lower.filter(|(_, it)| it.is_in_use(now));
        in_use.take(MAX_OVERDRAFT_STEPS).count() as f64 * self.overdraft_step()
    }

    fn overdraft_step(&self) -> f64 {
        (self.rate * OVERDRAFT_TIME.as_secs_f64()).max(MIN_OVERDRAFT)
    }
}

/// Returns the time from the first transmission of an opening for which it may be held.
fn hold_limit(opening: &Opening) -> Duration {
    let limit = opening.slack() / HOLD_TIME_DIVISOR;
    limit.clamp(MIN_HOLD_TIME, MAX_HOLD_TIME)
}

fn is_usable(figure: &f64) -> bool {
    figure.is_finite() && *figure >= 0.0
}
