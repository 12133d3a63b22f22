//! Admission of requests: bounded queues by precedence, deadlines, and fairness between callers.
//!
//! It decides only: the caller of this module tells it what arrives and how many slots are in
//! force, and asks it which request starts next.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::fair_queue::{CallerId, FairQueue, Ticket, Waiting};
use crate::ids::ServiceId;
use crate::random::Random;
use crate::record::Precedence;
use crate::service_time::ServiceTime;

/// Requests of one service that may wait at one instance.
pub const DEFAULT_CAPACITY: usize = 512;
/// One of so many starts goes to bulk work that waits, and so much of the room.
pub const BULK_ONE_OF: usize = 5;
/// Shortest time after which a refused caller may come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller may come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

const CLASSES: usize = 3;

/// Reason why a request is refused; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// All room is taken by requests that go first.
    #[error("too many requests are waiting")]
    Full,
    /// The request could not finish before its deadline.
    #[error("the request cannot finish before its deadline")]
    TooLate,
    /// A request of a higher precedence, or of a caller with fewer requests, took the room.
    #[error("the request made room for others")]
    Shed,
    /// The instance is about to stop.
    #[error("the instance is about to stop")]
    Leaving,
}

impl RefusalReason {
    /// Returns the label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::Full => "full",
            RefusalReason::TooLate => "too_late",
            RefusalReason::Shed => "shed",
            RefusalReason::Leaving => "leaving",
        }
    }
}

/// A refusal: the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// A request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Service.
    pub service: ServiceId,
    /// Precedence.
    pub precedence: Precedence,
    /// Caller.
    pub caller: CallerId,
    /// Deadline of the answer.
    pub deadline: Instant,
}

/// A request that was queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queued {
    /// Its number.
    pub ticket: Ticket,
    /// Moment at which it is given up when it has not started.
    pub latest_start: Instant,
    /// Request that made room for it.
    pub shed: Option<(Ticket, Refusal)>,
}

/// What [`Admission::next`] takes out of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// The request starts.
    Start(Ticket),
    /// The request is refused.
    Refuse(Ticket, Refusal),
}

#[derive(Debug, Default)]
struct ServiceQueue {
    classes: [FairQueue; CLASSES],
    service_time: ServiceTime,
    starts_before_bulk: usize,
}

#[derive(Debug)]
struct Place {
    service: ServiceId,
    class: usize,
    caller: CallerId,
}

/// The queues of one instance.
#[derive(Debug)]
pub struct Admission {
    capacity: usize,
    queues: BTreeMap<ServiceId, ServiceQueue>,
    places: HashMap<Ticket, Place>,
    next_ticket: Ticket,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Admission {
    /// Creates empty queues; at most `capacity` requests of a service wait.
    pub fn new(capacity: usize) -> Self {
        let (queues, places) = (BTreeMap::new(), HashMap::default());
        Self { capacity, queues, places, next_ticket: 0 }
    }

    /// Returns the number of waiting requests of a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::len)
    }

    /// Queues a request, or refuses it when it cannot finish in time or has no room. `slots` is
    /// the number of requests of the service that may run at once.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn offer(
        &mut self,
        now: Instant,
        arrival: Arrival,
        slots: u32,
        random: &dyn Random,
    ) -> Result<Queued, Refusal> {
        let capacity = self.capacity;
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let refuse = |queue: &ServiceQueue, reason| queue.refusal(reason, slots, random);
        let latest_start = queue.latest_start(now, arrival.deadline);
        let wait = queue.wait_of(&arrival, slots);
        if now >= arrival.deadline || wait.is_some_and(|wait| now + wait > latest_start) {
            return Err(refuse(queue, RefusalReason::TooLate));
        }
        let shed = if queue.len() < capacity {
            None
        } else {
            let victim = queue.make_room(&arrival, capacity);
            let victim = victim.ok_or_else(|| refuse(queue, RefusalReason::Full))?;
            Some((victim.ticket, refuse(queue, RefusalReason::Shed)))
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let class = class_of(arrival.precedence);
        queue.classes[class].push(&arrival.caller, Waiting { ticket, latest_start });
        let (service, caller) = (arrival.service, arrival.caller);
        self.places.insert(ticket, Place { service, class, caller });
        if let Some((victim, _)) = shed {
            self.places.remove(&victim);
        }
        Ok(Queued { ticket, latest_start, shed })
    }

    /// Takes the request of a service that starts next, or one that is too late to start.
    pub fn next(
        &mut self,
        now: Instant,
        service: &str,
        slots: u32,
        random: &dyn Random,
    ) -> Option<NextRequest> {
        let queue = self.queues.get_mut(service)?;
        let waiting = queue.pop()?;
        self.places.remove(&waiting.ticket);
        if now > waiting.latest_start {
            let refusal = queue.refusal(RefusalReason::TooLate, slots, random);
            return Some(NextRequest::Refuse(waiting.ticket, refusal));
        }
        Some(NextRequest::Start(waiting.ticket))
    }

    /// Takes a request out of its queue, and tells whether it was still waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.remove(&ticket) else { return false };
        let queue = self.queues.get_mut(&place.service);
        queue.is_some_and(|queue| queue.classes[place.class].remove(&place.caller, ticket))
    }

    /// Takes all waiting requests out of their queues.
    pub fn clear(&mut self) -> Vec<Ticket> {
        let mut tickets: Vec<_> = self.places.drain().map(|(ticket, _)| ticket).collect();
        tickets.sort_unstable();
        self.queues.values_mut().for_each(|queue| queue.classes = Default::default());
        tickets
    }

    /// Notes how long an answered request ran.
    pub fn note_answered(&mut self, service: &ServiceId, time: Duration) {
        self.queues.entry(service.clone()).or_default().service_time.note(time);
    }

    /// Returns a refusal of a request of a service.
    pub fn refusal(
        &self,
        service: &str,
        reason: RefusalReason,
        slots: u32,
        random: &dyn Random,
    ) -> Refusal {
        let queue = self.queues.get(service);
        let unknown = ServiceQueue::default();
        queue.unwrap_or(&unknown).refusal(reason, slots, random)
    }
}

impl ServiceQueue {
    fn len(&self) -> usize {
        self.classes.iter().map(FairQueue::len).sum()
    }

    fn latest_start(&self, now: Instant, deadline: Instant) -> Instant {
        let budget = deadline.saturating_duration_since(now);
        now + (budget - self.service_time.upper().min(budget / 2))
    }

    /// Returns how long a new request waits at the measured drain rate.
    fn wait_of(&self, arrival: &Arrival, slots: u32) -> Option<Duration> {
        if slots == 0 || self.len() == 0 {
            return None;
        }
        let class = class_of(arrival.precedence);
        let in_class = self.classes[class].ahead_of(&arrival.caller);
        let higher: usize = self.classes[..class].iter().map(FairQueue::len).sum();
        let mut ahead = in_class + higher;
        if class == CLASSES - 1 {
            ahead = ahead.min(in_class * BULK_ONE_OF);
        }
        self.service_time.drain_time(ahead, slots)
    }

    /// Takes out a request that has to make room for the arrival.
    fn make_room(&mut self, arrival: &Arrival, capacity: usize) -> Option<Waiting> {
        let own = class_of(arrival.precedence);
        for class in (own + 1..CLASSES).rev() {
            if self.classes[class].len() > guaranteed(class, capacity) {
                return self.classes[class].shed();
            }
        }
        if self.classes[own].longest() > self.classes[own].len_of(&arrival.caller) + 1 {
            return self.classes[own].shed();
        }
        let is_owed_room = self.classes[own].len() < guaranteed(own, capacity);
        let class = (0..own).rev().find(|class| !self.classes[*class].is_empty())?;
        if is_owed_room {
            return self.classes[class].shed();
        }
        None
    }

    fn pop(&mut self) -> Option<Waiting> {
        let bulk = CLASSES - 1;
        if self.classes[bulk].is_empty() {
            self.starts_before_bulk = BULK_ONE_OF - 1;
        } else if self.starts_before_bulk == 0 {
            self.starts_before_bulk = BULK_ONE_OF - 1;
            return self.classes[bulk].pop();
        } else {
            self.starts_before_bulk -= 1;
        }
        self.classes.iter_mut().find_map(FairQueue::pop)
    }

    fn refusal(&self, reason: RefusalReason, slots: u32, random: &dyn Random) -> Refusal {
        let drain = self.service_time.drain_time(self.len() + 1, slots).unwrap_or(MIN_RETRY_AFTER);
        let base = drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter = u64::try_from(base.as_millis()).unwrap_or(u64::MAX);
        let retry_after = base + Duration::from_millis(random.below(jitter));
        Refusal { reason, retry_after }
    }
}

fn class_of(precedence: Precedence) -> usize {
    match precedence {
        Precedence::Live => 0,
        Precedence::Interactive => 1,
        Precedence::Bulk => 2,
    }
}

fn guaranteed(class: usize, capacity: usize) -> usize {
    if class == CLASSES - 1 {
        capacity / BULK_ONE_OF
    } else {
        0
    }
}
