//! Hands slots of granted targets to requests, and lets requests wait for them.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::admission::{Admission, Arrival, Next, Refusal, RefusalReason};
use crate::collections::HashMap;
use crate::fair_queue::Ticket;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::plan::ServicePlan;
use crate::random::Random;
use crate::target::TargetHandle;

type Outcome = Result<Slot, Refusal>;

#[derive(Default)]
struct State {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Outcome>>,
    is_closed: bool,
}

/// Hands out the slots of one instance.
pub struct Dispatcher {
    kernel: Arc<Kernel>,
    state: Mutex<State>,
}

impl Dispatcher {
    /// Creates a dispatcher without waiting requests.
    pub fn new(kernel: Arc<Kernel>) -> Arc<Self> {
        Arc::new(Self { kernel, state: Mutex::new(State::default()) })
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting(&self, service: &str) -> usize {
        self.state.lock().admission.waiting(service)
    }

    /// Waits for a slot of a service.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as it is certain that the request gets no slot in time.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &ServicePlan,
        arrival: Arrival,
    ) -> Result<Slot, Refusal> {
        let (ticket, latest_start, mut rx) = match self.enter(service, arrival)? {
            Entered::Slot(slot) => return Ok(slot),
            Entered::Waiting(ticket, latest_start, rx) => (ticket, latest_start, rx),
        };
        let _guard = WaitGuard { dispatcher: self, ticket };
        if let Ok(Ok(outcome)) = timeout_at(latest_start, &mut rx).await {
            return outcome;
        }
        if !self.withdraw(ticket) {
            if let Ok(outcome) = rx.try_recv() {
                return outcome;
            }
        }
        Err(self.refusal(service, RefusalReason::TooLate))
    }

    /// Takes a free slot of another target than `avoid`, without waiting.
    pub fn try_other(
        self: &Arc<Self>,
        service: &ServicePlan,
        avoid: &[Arc<TargetHandle>],
    ) -> Option<Slot> {
        let is_other = |target: &TargetHandle| avoid.iter().all(|it| it.id() != target.id());
        self.take_slot(service, Instant::now(), is_other)
    }

    /// Returns a refusal of a request of a service.
    pub fn refusal(&self, service: &ServicePlan, reason: RefusalReason) -> Refusal {
        let slots = slots_of(service, Instant::now());
        self.state.lock().admission.refusal(&service.service, reason, slots, self.random())
    }

    /// Notes how long an answered request ran.
    pub fn note_answered(&self, service: &ServiceId, time: Duration) {
        self.state.lock().admission.note_answered(service, time);
    }

    /// Starts waiting requests of a service while there are free slots.
    pub fn dispatch(self: &Arc<Self>, service: &str) {
        let plan = self.kernel.plan();
        if let Some(service) = plan.service(service) {
            while self.start_next(service) {}
        }
    }

    /// Starts waiting requests of all services while there are free slots.
    pub fn dispatch_all(self: &Arc<Self>) {
        for service in self.kernel.plan().services() {
            while self.start_next(service) {}
            self.report_waiting(service);
        }
    }

    /// Tells the allocator, by way of the targets, how many requests wait.
    fn report_waiting(&self, service: &ServicePlan) {
        let waiting = u32::try_from(self.waiting(&service.service)).unwrap_or(u32::MAX);
        service.local_targets.iter().for_each(|target| target.set_waiting(waiting));
    }

    /// Refuses all waiting requests, and all that come.
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
            // The receiver may have gone.
            drop(tx.send(Err(refusal)));
        }
    }

    fn enter(
        self: &Arc<Self>,
        service: &ServicePlan,
        arrival: Arrival,
    ) -> Result<Entered, Refusal> {
        let now = Instant::now();
        let slots = slots_of(service, now);
        let mut state = self.state.lock();
        if state.is_closed {
            let reason = RefusalReason::Leaving;
            return Err(state.admission.refusal(&service.service, reason, slots, self.random()));
        }
        if state.admission.waiting(&service.service) == 0 && now < arrival.deadline {
            if let Some(slot) = self.take_slot(service, now, |_| true) {
                return Ok(Entered::Slot(slot));
            }
        }
        let queued = state.admission.offer(now, arrival, slots, self.random())?;
        let (tx, rx) = oneshot::channel();
        state.waiters.insert(queued.ticket, tx);
        if let Some((victim, refusal)) = queued.shed {
            if let Some(tx) = state.waiters.remove(&victim) {
                // The receiver may have gone.
                drop(tx.send(Err(refusal)));
            }
        }
        Ok(Entered::Waiting(queued.ticket, queued.latest_start, rx))
    }

    /// Hands one free slot to the next request, and tells whether to go on.
    fn start_next(self: &Arc<Self>, service: &ServicePlan) -> bool {
        let now = Instant::now();
        if self.waiting(&service.service) == 0 {
            return false;
        }
        let Some(mut slot) = self.take_slot(service, now, |_| true) else { return false };
        loop {
            match self.next_waiter(service, now) {
                None => {
                    slot.give_back_quietly();
                    return self.waiting(&service.service) > 0;
                }
                Some((tx, Some(refusal))) => drop(tx.send(Err(refusal))),
                Some((tx, None)) => match tx.send(Ok(slot)) {
                    Err(Ok(returned)) => slot = returned,
                    _ => return true,
                },
            }
        }
    }

    fn next_waiter(
        &self,
        service: &ServicePlan,
        now: Instant,
    ) -> Option<(oneshot::Sender<Outcome>, Option<Refusal>)> {
        let slots = slots_of(service, now);
        let mut state = self.state.lock();
        loop {
            let next = state.admission.next(now, &service.service, slots, self.random())?;
            let (ticket, refusal) = match next {
                Next::Start(ticket) => (ticket, None),
                Next::Refuse(ticket, refusal) => (ticket, Some(refusal)),
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

    /// Takes a slot of the less loaded of two random targets, or of any that has one free.
    fn take_slot(
        self: &Arc<Self>,
        service: &ServicePlan,
        now: Instant,
        accept: impl Fn(&TargetHandle) -> bool,
    ) -> Option<Slot> {
        let free: Vec<_> = service
            .local_targets
            .iter()
            .filter(|target| target.takes_new(now) && target.running() < target.slots())
            .filter(|target| accept(target))
            .collect();
        let pick = || free.get(self.random().below(free.len() as u64) as usize);
        let (first, second) = (pick()?, pick()?);
        let better = if is_less_loaded(second, first) { second } else { first };
        let mut candidates = [better].into_iter().chain(&free);
        let target = candidates.find(|target| target.try_start(now))?;
        Some(Slot { target: Arc::clone(target), dispatcher: Arc::clone(self), is_quiet: false })
    }

    fn random(&self) -> &dyn Random {
        self.kernel.random().as_ref()
    }
}

enum Entered {
    Slot(Slot),
    Waiting(Ticket, Instant, oneshot::Receiver<Outcome>),
}

struct WaitGuard<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.withdraw(self.ticket);
    }
}

/// A slot of a target. Dropping it gives the slot back, and the next request starts.
pub struct Slot {
    target: Arc<TargetHandle>,
    dispatcher: Arc<Dispatcher>,
    is_quiet: bool,
}

impl Slot {
    /// Returns the target.
    pub fn target(&self) -> &Arc<TargetHandle> {
        &self.target
    }

    /// Notes how long the request that held the slot ran.
    pub fn note_service_time(&self, time: Duration) {
        self.dispatcher.note_answered(self.target.service(), time);
    }

    fn give_back_quietly(mut self) {
        self.is_quiet = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.target.finish();
        if !self.is_quiet {
            self.dispatcher.dispatch(self.target.service());
        }
    }
}

/// Returns the number of requests of a service that may run at once.
fn slots_of(service: &ServicePlan, now: Instant) -> u32 {
    let in_force = service.local_targets.iter().filter(|target| target.takes_new(now));
    in_force.map(|target| target.slots()).sum()
}

fn is_less_loaded(a: &TargetHandle, b: &TargetHandle) -> bool {
    let load = |target: &TargetHandle, other: &TargetHandle| {
        u64::from(target.running()) * u64::from(other.slots())
    };
    load(a, b) < load(b, a)
}
