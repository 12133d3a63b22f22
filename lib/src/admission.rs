//! Admission control for requests: bounded queues per service and precedence, deadlines, and
//! fairness between callers.
//!
//! [`Admission`] does no I/O and reads no clock: its user passes in the time, each arriving request
//! and the number of slots, and asks which request starts next.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::fair_queue::{CallerId, FairQueue, Ticket, WaitingRequest};
use crate::ids::ServiceId;
use crate::random::Random;
use crate::record::Precedence;
use crate::service_time::ServiceTime;

/// Number of requests of one service that may wait at one instance.
pub const DEFAULT_QUEUE_CAPACITY: usize = 512;
/// Reciprocal of the share of starts and of queue places that is reserved for bulk requests.
/// Without a share of their own, bulk requests would be starved by requests of higher precedences.
pub const BULK_SHARE_DIVISOR: usize = 5;
/// Lower limit of a refusal's `retry_after` before jitter, which at most doubles it.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper limit of a refusal's `retry_after` before jitter, which at most doubles it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

const CLASS_COUNT: usize = 3;

/// Reason why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The queue is full, and none of its requests may be shed for this one.
    #[error("too many requests are waiting")]
    Full,
    /// The request is not expected to finish before its deadline.
    #[error("the request cannot finish before its deadline")]
    TooLate,
    /// The queue was full, and the request was removed in favour of one with a higher precedence,
    /// one of a caller with fewer waiting requests, or a bulk request within its reserved share.
    #[error("the request made room for others")]
    Shed,
    /// The instance is shutting down.
    #[error("the instance is about to stop")]
    Leaving,
}

impl RefusalReason {
    /// Returns the label value of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::Full => "full",
            RefusalReason::TooLate => "too_late",
            RefusalReason::Shed => "shed",
            RefusalReason::Leaving => "leaving",
        }
    }
}

/// Refusal of a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry, with jitter so that refused callers spread out.
    pub retry_after: Duration,
}

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Precedence, which selects the queue.
    pub precedence: Precedence,
    /// Caller that sent the request. Callers with waiting requests of one precedence are served in
    /// turn.
    pub caller: CallerId,
    /// Time by which the response is due.
    pub deadline: Instant,
}

/// Result of queueing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queued {
    /// Ticket of the queued request.
    pub ticket: Ticket,
    /// Time after which the request is refused if it has not started.
    pub latest_start: Instant,
    /// Ticket and refusal of the request that was shed to queue this one.
    pub shed: Option<(Ticket, Refusal)>,
}

/// Request that [`Admission::next`] removed from its queue, and whether it starts or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// The request starts and occupies a slot.
    Start(Ticket),
    /// The request can no longer finish in time and is refused.
    Refuse(Ticket, Refusal),
}

#[derive(Debug, Default)]
struct ServiceQueue {
    classes: [FairQueue; CLASS_COUNT],
    service_time: ServiceTime,
    starts_before_bulk: usize,
}

#[derive(Debug)]
struct QueueKey {
    service: ServiceId,
    class: usize,
    caller: CallerId,
}

/// The request queues of one instance.
#[derive(Debug)]
pub struct Admission {
    capacity: usize,
    queues: BTreeMap<ServiceId, ServiceQueue>,
    queue_keys: HashMap<Ticket, QueueKey>,
    next_ticket: Ticket,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(DEFAULT_QUEUE_CAPACITY)
    }
}

impl Admission {
    /// Creates empty queues in which at most `capacity` requests of each service wait.
    pub fn new(capacity: usize) -> Self {
        let (queues, queue_keys) = (BTreeMap::new(), HashMap::default());
        Self { capacity, queues, queue_keys, next_ticket: 0 }
    }

    /// Returns the number of requests of a service that are waiting, at all precedence levels.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, ServiceQueue::len)
    }

    /// Adds a request to its queue. `slots` is the number of requests of the service that this
    /// instance may run at once.
    ///
    /// If the queue is full, may remove another waiting request, which is returned in
    /// [`Queued::shed`] with its refusal.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is not expected to finish before its deadline, or if the
    /// queue is full and no other request may be shed for it.
    pub fn enqueue(
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
        let wait = queue.expected_wait(&arrival, slots);
        if now >= arrival.deadline || wait.is_some_and(|wait| now + wait > latest_start) {
            return Err(refuse(queue, RefusalReason::TooLate));
        }
        let shed = if queue.len() < capacity {
            None
        } else {
            let victim = queue.remove_to_make_room(&arrival, capacity);
            let victim = victim.ok_or_else(|| refuse(queue, RefusalReason::Full))?;
            Some((victim.ticket, refuse(queue, RefusalReason::Shed)))
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let class = class_of(arrival.precedence);
        queue.classes[class].push(&arrival.caller, WaitingRequest { ticket, latest_start });
        let (service, caller) = (arrival.service, arrival.caller);
        self.queue_keys.insert(ticket, QueueKey { service, class, caller });
        if let Some((victim, _)) = shed {
            self.queue_keys.remove(&victim);
        }
        Ok(Queued { ticket, latest_start, shed })
    }

    /// Removes the next request of a service from its queue. The request starts, or is refused if
    /// its latest start has passed. Returns `None` if no request of the service waits.
    pub fn next(
        &mut self,
        now: Instant,
        service: &str,
        slots: u32,
        random: &dyn Random,
    ) -> Option<NextRequest> {
        let queue = self.queues.get_mut(service)?;
        let waiting = queue.pop()?;
        self.queue_keys.remove(&waiting.ticket);
        if now > waiting.latest_start {
            let refusal = queue.refusal(RefusalReason::TooLate, slots, random);
            return Some(NextRequest::Refuse(waiting.ticket, refusal));
        }
        Some(NextRequest::Start(waiting.ticket))
    }

    /// Removes a request from its queue. Returns whether it was still waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(key) = self.queue_keys.remove(&ticket) else { return false };
        let queue = self.queues.get_mut(&key.service);
        queue.is_some_and(|queue| queue.classes[key.class].remove(&key.caller, ticket))
    }

    /// Removes all requests from their queues and returns their tickets in ascending order.
    pub fn clear(&mut self) -> Vec<Ticket> {
        let mut tickets: Vec<_> = self.queue_keys.drain().map(|(ticket, _)| ticket).collect();
        tickets.sort_unstable();
        self.queues.values_mut().for_each(|queue| queue.classes = Default::default());
        tickets
    }

    /// Updates the estimated service time of a service with the service time of a completed
    /// request.
    pub fn note_answered(&mut self, service: &ServiceId, time: Duration) {
        self.queues.entry(service.clone()).or_default().service_time.observe(time);
    }

    /// Returns a refusal whose `retry_after` follows from the queue length and the estimated
    /// service time of the service.
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

    /// Returns the latest time at which a request can start and still finish by its deadline. At
    /// most half of the remaining time is set aside for running, so that a request with less time
    /// than the estimate may still start.
    fn latest_start(&self, now: Instant, deadline: Instant) -> Instant {
        let budget = deadline.saturating_duration_since(now);
        now + (budget - self.service_time.upper_bound().min(budget / 2))
    }

    /// Returns the expected waiting time of a new request at the estimated service time, or `None`
    /// if no request waits, there is no slot, or no service time is known.
    fn expected_wait(&self, arrival: &Arrival, slots: u32) -> Option<Duration> {
        if slots == 0 || self.len() == 0 {
            return None;
        }
        let class = class_of(arrival.precedence);
        let in_class = self.classes[class].count_ahead_of(&arrival.caller);
        let higher: usize = self.classes[..class].iter().map(FairQueue::len).sum();
        let mut ahead = in_class + higher;
        if class == CLASS_COUNT - 1 {
            ahead = ahead.min(in_class * BULK_SHARE_DIVISOR);
        }
        self.service_time.drain_time(ahead, slots)
    }

    /// Removes and returns a request of the full queue to make room for `arrival`, or returns
    /// `None` if no request may be shed for it. The candidates are, in this order:
    ///
    /// - a request of a lower precedence whose requests exceed its reserved places;
    /// - a request of the same precedence from the caller with the most waiting requests, if these
    ///   are at least two more than those of the arrival's caller;
    /// - a request of a higher precedence, while the reserved places of the arrival's own
    ///   precedence are not all in use.
    fn remove_to_make_room(
        &mut self,
        arrival: &Arrival,
        capacity: usize,
    ) -> Option<WaitingRequest> {
        let own = class_of(arrival.precedence);
        for class in (own + 1..CLASS_COUNT).rev() {
            if self.classes[class].len() > reserved_capacity(class, capacity) {
                return self.classes[class].shed();
            }
        }
        if self.classes[own].longest_caller_queue()
            > self.classes[own].caller_len(&arrival.caller) + 1
        {
            return self.classes[own].shed();
        }
        let is_below_reserve = self.classes[own].len() < reserved_capacity(own, capacity);
        let class = (0..own).rev().find(|class| !self.classes[*class].is_empty())?;
        if is_below_reserve {
            return self.classes[class].shed();
        }
        None
    }

    /// Removes and returns the next request: one of the highest precedence that has waiting
    /// requests, but at every [`BULK_SHARE_DIVISOR`]th start a bulk request if one waits.
    fn pop(&mut self) -> Option<WaitingRequest> {
        let bulk = CLASS_COUNT - 1;
        if self.classes[bulk].is_empty() {
            self.starts_before_bulk = BULK_SHARE_DIVISOR - 1;
        } else if self.starts_before_bulk == 0 {
            self.starts_before_bulk = BULK_SHARE_DIVISOR - 1;
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

/// Returns the number of queue places that are reserved for a precedence: up to this number, its
/// requests are not shed for those of higher precedences.
fn reserved_capacity(class: usize, capacity: usize) -> usize {
    if class == CLASS_COUNT - 1 {
        capacity / BULK_SHARE_DIVISOR
    } else {
        0
    }
}
