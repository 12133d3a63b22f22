//! Dispatcher: assigns the granted slots of targets to requests, which queue while none is free.
//!
//! The number of a target's slots is the number of requests that it may run at a time.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::admission::{Admission, Arrival, NextRequest, Refusal, RefusalReason};
use crate::collections::HashMap;
use crate::fair_queue::Ticket;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::plan::ServicePlan;
use crate::random::Random;
use crate::target::TargetHandle;

type SlotResult = Result<Slot, Refusal>;

#[derive(Default)]
struct State {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<SlotResult>>,
    is_closed: bool,
}

/// Assigns the slots that one instance has been granted.
pub struct Dispatcher {
    kernel: Arc<Kernel>,
    state: Mutex<State>,
}

impl Dispatcher {
    /// Creates a dispatcher with empty queues.
    pub fn new(kernel: Arc<Kernel>) -> Arc<Self> {
        Arc::new(Self { kernel, state: Mutex::new(State::default()) })
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.state.lock().admission.waiting_count(service)
    }

    /// Acquires a slot of a service, and queues the request while none is free. Dropping the future
    /// withdraws the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal when admission rejects or sheds the request, when the latest time passes
    /// at which it could start and still finish by its deadline, or when the dispatcher closes.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &ServicePlan,
        arrival: Arrival,
    ) -> Result<Slot, Refusal> {
        let (ticket, latest_start, mut rx) = match self.acquire_or_enqueue(service, arrival)? {
            Acquisition::Slot(slot) => return Ok(slot),
            Acquisition::Waiting(ticket, latest_start, rx) => (ticket, latest_start, rx),
        };
        let _guard = WaitGuard { dispatcher: self, ticket };
        if let Ok(Ok(result)) = timeout_at(latest_start, &mut rx).await {
            return result;
        }
        if !self.withdraw(ticket) {
            if let Ok(result) = rx.try_recv() {
                return result;
            }
        }
        Err(self.refusal(service, RefusalReason::TooLate))
    }

    /// Acquires a free slot of a target that is not in `excluded`, without waiting.
    pub fn try_acquire_other(
        self: &Arc<Self>,
        service: &ServicePlan,
        excluded: &[Arc<TargetHandle>],
    ) -> Option<Slot> {
        let is_other = |target: &TargetHandle| excluded.iter().all(|it| it.id() != target.id());
        self.take_slot(service, Instant::now(), is_other)
    }

    /// Returns a refusal whose `retry_after` follows from the load of the service.
    pub fn refusal(&self, service: &ServicePlan, reason: RefusalReason) -> Refusal {
        let slots = usable_slots(service, Instant::now());
        self.state.lock().admission.refusal(&service.service, reason, slots, self.random())
    }

    /// Updates the estimated service time of a service by that of a completed request.
    pub fn note_answered(&self, service: &ServiceId, time: Duration) {
        self.state.lock().admission.note_answered(service, time);
    }

    /// Starts waiting requests of one service until the free slots or the requests run out.
    pub fn dispatch(self: &Arc<Self>, service: &str) {
        let plan = self.kernel.plan();
        if let Some(service) = plan.service(service) {
            while self.start_next(service) {}
        }
    }

    /// Starts waiting requests of all services until the free slots or the requests run out, and
    /// reports the lengths of the queues to the targets.
    pub fn dispatch_all(self: &Arc<Self>) {
        for service in self.kernel.plan().services() {
            while self.start_next(service) {}
            self.report_waiting(service);
        }
    }

    /// Stores the number of waiting requests in each target of the service. Grant requests send it
    /// on to the capacity allocator.
    fn report_waiting(&self, service: &ServicePlan) {
        let waiting = u32::try_from(self.waiting_count(&service.service)).unwrap_or(u32::MAX);
        service.local_targets.iter().for_each(|target| target.set_waiting_requests(waiting));
    }

    /// Refuses all waiting requests and every later one.
    pub fn close(&self) {
        let refused = {
            let mut state = self.state.lock();
            state.is_closed = true;
            let tickets = state.admission.clear();
            let refusal = state.admission.refusal("", RefusalReason::Leaving, 0, self.random());
            let waiters = tickets.into_iter().filter_map(|ticket| state.waiters.remove(&ticket));
            waiters.map(|tx| (tx, refusal)).collect::<Vec<_>>()
        };
        for (tx, refusal) in refused {
            // Sending fails only if the request was cancelled and needs no refusal.
            drop(tx.send(Err(refusal)));
        }
    }

    /// Acquires a slot if one is free and no other request of the service waits, else queues the
    /// request.
    fn acquire_or_enqueue(
        self: &Arc<Self>,
        service: &ServicePlan,
        arrival: Arrival,
    ) -> Result<Acquisition, Refusal> {
        let now = Instant::now();
        let slots = usable_slots(service, now);
        let mut state = self.state.lock();
        if state.is_closed {
            let reason = RefusalReason::Leaving;
            return Err(state.admission.refusal(&service.service, reason, slots, self.random()));
        }
        if state.admission.waiting_count(&service.service) == 0 && now < arrival.deadline {
            if let Some(slot) = self.take_slot(service, now, |_| true) {
                return Ok(Acquisition::Slot(slot));
            }
        }
        let queued = state.admission.enqueue(now, arrival, slots, self.random())?;
        let (tx, rx) = oneshot::channel();
        state.waiters.insert(queued.ticket, tx);
        if let Some((victim, refusal)) = queued.shed {
            if let Some(tx) = state.waiters.remove(&victim) {
                // Sending fails only if the request was cancelled and needs no refusal.
                drop(tx.send(Err(refusal)));
            }
        }
        Ok(Acquisition::Waiting(queued.ticket, queued.latest_start, rx))
    }

    /// Assigns one free slot to the next waiting request. Returns whether a further call may start
    /// another one.
    fn start_next(self: &Arc<Self>, service: &ServicePlan) -> bool {
        let now = Instant::now();
        if self.waiting_count(&service.service) == 0 {
            return false;
        }
        let Some(mut slot) = self.take_slot(service, now, |_| true) else { return false };
        loop {
            match self.next_waiter(service, now) {
                None => {
                    slot.release_without_dispatch();
                    return self.waiting_count(&service.service) > 0;
                }
                Some((tx, Some(refusal))) => drop(tx.send(Err(refusal))),
                Some((tx, None)) => match tx.send(Ok(slot)) {
                    Err(Ok(returned)) => slot = returned,
                    _ => return true,
                },
            }
        }
    }

    /// Returns the next waiting request, with the refusal if it is too late to start.
    fn next_waiter(
        &self,
        service: &ServicePlan,
        now: Instant,
    ) -> Option<(oneshot::Sender<SlotResult>, Option<Refusal>)> {
        let slots = usable_slots(service, now);
        let mut state = self.state.lock();
        loop {
            let next = state.admission.next(now, &service.service, slots, self.random())?;
            let (ticket, refusal) = match next {
                NextRequest::Start(ticket) => (ticket, None),
                NextRequest::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            if let Some(tx) = state.waiters.remove(&ticket) {
                return Some((tx, refusal));
            }
        }
    }

    fn withdraw(&self, ticket: Ticket) -> bool {
        let mut state = self.state.lock();
        state.waiters.remove(&ticket);
        state.admission.withdraw(ticket)
    }

    /// Takes a slot of the less loaded of two random targets ("power of two choices"), or of any
    /// target with a free slot if a concurrent request has taken the last slot of that one.
    fn take_slot(
        self: &Arc<Self>,
        service: &ServicePlan,
        now: Instant,
        accept: impl Fn(&TargetHandle) -> bool,
    ) -> Option<Slot> {
        let free: Vec<_> = service
            .local_targets
            .iter()
            .filter(|target| {
                target.accepts_new_work(now) && target.running_requests() < target.slots()
            })
            .filter(|target| accept(target))
            .collect();
        let pick = || free.get(self.random().below(free.len() as u64) as usize);
        let (first, second) = (pick()?, pick()?);
        let better = if is_less_loaded(second, first) { second } else { first };
        let mut candidates = [better].into_iter().chain(&free);
        let target = candidates.find(|target| target.try_acquire_slot(now))?;
        Some(Slot {
            target: Arc::clone(target),
            dispatcher: Arc::clone(self),
            skips_dispatch: false,
        })
    }

    fn random(&self) -> &dyn Random {
        self.kernel.random().as_ref()
    }
}

enum Acquisition {
    Slot(Slot),
    Waiting(Ticket, Instant, oneshot::Receiver<SlotResult>),
}

/// Withdraws a request from the queue when the future that waits for its slot is dropped.
struct WaitGuard<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.withdraw(self.ticket);
    }
}

/// A slot of a target. Dropping it releases the slot and starts the next waiting request.
pub struct Slot {
    target: Arc<TargetHandle>,
    dispatcher: Arc<Dispatcher>,
    skips_dispatch: bool,
}

impl Slot {
    /// Returns the target that runs the request.
    pub fn target(&self) -> &Arc<TargetHandle> {
        &self.target
    }

    /// Updates the estimated service time of the service by that of the request in this slot.
    pub fn note_service_time(&self, time: Duration) {
        self.dispatcher.note_answered(self.target.service(), time);
    }

    fn release_without_dispatch(mut self) {
        self.skips_dispatch = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.target.release_slot();
        if !self.skips_dispatch {
            self.dispatcher.dispatch(self.target.service());
        }
    }
}

/// Returns the number of requests of a service that the grants in force let this instance run at
/// once.
fn usable_slots(service: &ServicePlan, now: Instant) -> u32 {
    let in_force = service.local_targets.iter().filter(|target| target.accepts_new_work(now));
    in_force.map(|target| target.slots()).sum()
}

/// Compares the fractions of slots in use, by cross-multiplication to stay in integers.
fn is_less_loaded(a: &TargetHandle, b: &TargetHandle) -> bool {
    let load = |target: &TargetHandle, other: &TargetHandle| {
        u64::from(target.running_requests()) * u64::from(other.slots())
    };
    load(a, b) < load(b, a)
}
