//! Simulation of targets with slots in virtual time, for comparing policies of admission and target
//! selection.
//!
//! A request that starts on a target with more running requests than slots takes proportionally
//! longer.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyhead::admission::{Admission, Arrival, NextRequest, Refusal};
use hollyhead::fair_queue::Ticket;
use hollyhead::random::{Random, SeededRandom};
use hollyhead::record::Precedence;
use tokio::time::Instant;

const SERVICE: &str = "quaydesk";
const MAX_RETRIES: u32 = 3;

/// Index of a request in the list that the model runs.
pub type RequestNumber = usize;

/// Request that arrives in the model.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Time of its first arrival, from the start of the model.
    pub at: Duration,
    /// Index of the instance that it arrives at.
    pub instance: usize,
    /// Precedence in the admission queue.
    pub precedence: Precedence,
    /// Number of its caller; the admission queue is fair among callers.
    pub caller: u32,
    /// Time from its last arrival to its deadline.
    pub timeout: Duration,
    /// Time for which it runs on a target with a free slot.
    pub service_time: Duration,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Time of its last arrival, from the start of the model.
    pub arrived: Duration,
    /// Time of its start, from the start of the model; `None` if it did not start.
    pub started: Option<Duration>,
    /// Time of its end, from the start of the model; `None` if it did not finish.
    pub finished: Option<Duration>,
    /// Whether it finished by its deadline.
    pub is_in_time: bool,
    /// Number of times that the policy refused it.
    pub refusals: u32,
}

/// Decision of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts the request on the target with the index.
    Start(RequestNumber, usize),
    /// Refuses the request, which arrives again after the given time unless its retries are
    /// exhausted.
    Refuse(RequestNumber, Duration),
}

/// Policy of admission and target selection.
pub trait Policy {
    /// Handles the arrival of a request and returns the actions to take.
    fn arrive(&mut self, now: Instant, number: RequestNumber, req: &ModelRequest) -> Vec<Action>;

    /// Handles the end of a request that ran on a target for `run_time`, and returns the actions to
    /// take.
    fn finish(
        &mut self,
        now: Instant,
        instance: usize,
        target: usize,
        run_time: Duration,
    ) -> Vec<Action>;
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(RequestNumber),
    Finish { number: RequestNumber, target: usize, run_time: Duration },
}

/// Simulation of targets with slots.
pub struct SlotModel<'a> {
    origin: Instant,
    requests: &'a [ModelRequest],
    slots: u32,
    running: Vec<u32>,
    /// Largest number of requests that ran at once, indexed by target.
    pub peak_running: Vec<u32>,
    /// Outcomes, indexed by request number.
    pub outcomes: Vec<RequestOutcome>,
    /// Sum of the service times of all requests that started, without the slow-down by overload.
    pub total_service_time: Duration,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl<'a> SlotModel<'a> {
    /// Runs `requests` under a policy on `targets` targets with `slots` slots each, until no event
    /// is left.
    pub fn run(
        requests: &'a [ModelRequest],
        targets: usize,
        slots: u32,
        policy: &mut dyn Policy,
    ) -> Self {
        let origin = Instant::now();
        let mut model = Self {
            origin,
            requests,
            slots,
            running: vec![0; targets],
            peak_running: vec![0; targets],
            outcomes: vec![RequestOutcome::default(); requests.len()],
            total_service_time: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
        };
        for (number, req) in requests.iter().enumerate() {
            model.schedule(origin + req.at, Event::Arrive(number));
        }
        while let Some(((now, _), event)) = model.events.pop_first() {
            let actions = model.handle(now, event, policy);
            actions.into_iter().for_each(|action| model.apply(now, action));
        }
        model
    }

    /// Returns the number of requests that finished by their deadline, and at or after `from` and
    /// before `to`.
    pub fn goodput(&self, from: Duration, to: Duration) -> usize {
        let is_in_span =
            |outcome: &&RequestOutcome| outcome.finished.is_some_and(|at| (from..to).contains(&at));
        self.outcomes.iter().filter(is_in_span).filter(|outcome| outcome.is_in_time).count()
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, now: Instant, event: Event, policy: &mut dyn Policy) -> Vec<Action> {
        match event {
            Event::Arrive(number) => {
                self.outcomes[number].arrived = now - self.origin;
                policy.arrive(now, number, &self.requests[number])
            }
            Event::Finish { number, target, run_time } => {
                self.running[target] -= 1;
                let outcome = &mut self.outcomes[number];
                let finished = now - self.origin;
                outcome.finished = Some(finished);
                outcome.is_in_time = finished <= outcome.arrived + self.requests[number].timeout;
                policy.finish(now, self.requests[number].instance, target, run_time)
            }
        }
    }

    fn apply(&mut self, now: Instant, action: Action) {
        match action {
            Action::Start(number, target) => {
                self.running[target] += 1;
                let running = self.running[target];
                self.peak_running[target] = self.peak_running[target].max(running);
                let service_time = self.requests[number].service_time;
                self.total_service_time += service_time;
                let run_time = service_time * running.max(self.slots) / self.slots;
                self.outcomes[number].started = Some(now - self.origin);
                self.schedule(now + run_time, Event::Finish { number, target, run_time });
            }
            Action::Refuse(number, wait) => {
                self.outcomes[number].refusals += 1;
                if self.outcomes[number].refusals <= MAX_RETRIES {
                    self.schedule(now + wait, Event::Arrive(number));
                }
            }
        }
    }
}

/// Policy with an admission queue at each instance and a fixed grant of slots to each instance.
pub struct GrantedSlots {
    instances: Vec<GrantedInstance>,
    random: SeededRandom,
}

struct GrantedInstance {
    admission: Admission,
    slots: Vec<u32>,
    running: Vec<u32>,
    numbers: BTreeMap<Ticket, RequestNumber>,
}

impl GrantedSlots {
    /// Creates the policy. `slots` are the granted slots, indexed by instance, then by target, and
    /// `capacity` is the capacity of each admission queue.
    pub fn new(slots: Vec<Vec<u32>>, capacity: usize, seed: u64) -> Self {
        let instance = |slots: Vec<u32>| GrantedInstance {
            admission: Admission::new(capacity),
            running: vec![0; slots.len()],
            slots,
            numbers: BTreeMap::new(),
        };
        let instances = slots.into_iter().map(instance).collect();
        Self { instances, random: SeededRandom::new(seed) }
    }
}

impl GrantedInstance {
    fn total(&self) -> u32 {
        self.slots.iter().sum()
    }

    fn pick_target(&mut self, random: &dyn Random) -> Option<usize> {
        let is_free = |target: &usize| self.running[*target] < self.slots[*target];
        let free: Vec<_> = (0..self.slots.len()).filter(is_free).collect();
        let pick = || free.get(random.below(free.len() as u64) as usize).copied();
        let (first, second) = (pick()?, pick()?);
        let load = |target: usize| self.running[target] * 1_000 / self.slots[target];
        let target = if load(second) < load(first) { second } else { first };
        self.running[target] += 1;
        Some(target)
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) -> Option<Action> {
        let number = self.numbers.remove(&ticket)?;
        Some(Action::Refuse(number, refusal.retry_after))
    }

    fn start_waiting(&mut self, now: Instant, random: &dyn Random) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.admission.waiting_count(SERVICE) > 0 {
            let Some(target) = self.pick_target(random) else { break };
            loop {
                let total = self.total();
                match self.admission.next(now, SERVICE, total, random) {
                    None => {
                        self.running[target] -= 1;
                        break;
                    }
                    Some(NextRequest::Refuse(ticket, refusal)) => {
                        actions.extend(self.refuse(ticket, refusal));
                    }
                    Some(NextRequest::Start(ticket)) => {
                        let number = self.numbers.remove(&ticket);
                        actions.extend(number.map(|number| Action::Start(number, target)));
                        break;
                    }
                }
            }
        }
        actions
    }
}

impl Policy for GrantedSlots {
    fn arrive(&mut self, now: Instant, number: RequestNumber, req: &ModelRequest) -> Vec<Action> {
        let instance = &mut self.instances[req.instance];
        if instance.admission.waiting_count(SERVICE) == 0 {
            if let Some(target) = instance.pick_target(&self.random) {
                return vec![Action::Start(number, target)];
            }
        }
        let arrival = Arrival {
            service: SERVICE.into(),
            precedence: req.precedence,
            caller: req.caller.to_string().into(),
            deadline: now + req.timeout,
        };
        let total = instance.total();
        match instance.admission.enqueue(now, arrival, total, &self.random) {
            Err(refusal) => vec![Action::Refuse(number, refusal.retry_after)],
            Ok(queued) => {
                instance.numbers.insert(queued.ticket, number);
                let shed =
                    queued.shed.and_then(|(ticket, refusal)| instance.refuse(ticket, refusal));
                shed.into_iter().collect()
            }
        }
    }

    fn finish(
        &mut self,
        now: Instant,
        instance: usize,
        target: usize,
        run_time: Duration,
    ) -> Vec<Action> {
        let instance = &mut self.instances[instance];
        instance.running[target] -= 1;
        instance.admission.note_answered(&SERVICE.into(), run_time);
        instance.start_waiting(now, &self.random)
    }
}

/// Generates requests that arrive at random times within a span, `per_second` on average, and have
/// random service times with the mean `mean`. All other fields are copied from `template`.
pub fn generate_requests(
    random: &dyn Random,
    span: (Duration, Duration),
    per_second: f64,
    mean: Duration,
    template: &ModelRequest,
) -> Vec<ModelRequest> {
    let mut at = span.0;
    let mut requests = Vec::new();
    loop {
        at += Duration::from_secs_f64(exponential(random) / per_second);
        if at >= span.1 {
            return requests;
        }
        let service_time = mean.mul_f64(0.5 + 0.5 * exponential(random));
        requests.push(ModelRequest { at, service_time, ..template.clone() });
    }
}

fn exponential(random: &dyn Random) -> f64 {
    let unit = (random.below(1 << 32) as f64 + 0.5) / (1_u64 << 32) as f64;
    -unit.ln()
}
