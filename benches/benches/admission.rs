//! Compares admission by granted slots with two baselines in the same run, in virtual time.
//!
//! Prints the goodput, the waiting time by precedence, the slot utilisation, the peak number of
//! concurrent requests at a cold target, and the number of refused requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use hollyhead::random::{Random, SeededRandom};
use hollyhead::record::Precedence;
use testutils::slot_model::{
    generate_requests, Action, GrantedSlots, ModelRequest, Policy, RequestNumber, SlotModel,
};
use tokio::time::Instant;

const INSTANCES: usize = 8;
const TARGETS: usize = 15;
const SLOTS: u32 = 2;
const COLD_SLOTS: u32 = 1;
/// Largest number of queued requests of an instance.
const QUEUE_LENGTH: usize = 512;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Requests per second that all warm targets serve together: `TARGETS * SLOTS / MEAN_SERVICE_TIME`.
const CAPACITY_PER_SECOND: f64 = 600.0;
const LOAD_DURATION: Duration = Duration::from_secs(60);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Offered load as a multiple of the capacity.
const LOAD_FACTORS: [f64; 3] = [0.7, 1.0, 3.0];
const PRECEDENCES: [Precedence; 3] = [Precedence::Live, Precedence::Interactive, Precedence::Bulk];
const MAX_WAIT_US: u64 = 60_000_000;
/// Delay after which a refused request is retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Baseline that chooses targets at random and limits the running requests of each instance to its
/// share of all slots.
struct RandomChoice {
    random: SeededRandom,
    running: Vec<u32>,
}

impl Policy for RandomChoice {
    fn arrive(&mut self, _now: Instant, number: RequestNumber, req: &ModelRequest) -> Vec<Action> {
        let limit = (TARGETS as u32 * SLOTS).div_ceil(INSTANCES as u32);
        if self.running[req.instance] >= limit {
            return vec![Action::Refuse(number, RETRY_AFTER)];
        }
        self.running[req.instance] += 1;
        vec![Action::Start(number, self.random.below(TARGETS as u64) as usize)]
    }

    fn finish(&mut self, _: Instant, instance: usize, _: usize, _: Duration) -> Vec<Action> {
        self.running[instance] -= 1;
        Vec::new()
    }
}

/// Baseline that chooses the target with the fewest outstanding requests of the same instance and
/// refuses none.
struct LeastOutstanding {
    random: SeededRandom,
    running: Vec<Vec<u32>>,
}

impl Policy for LeastOutstanding {
    fn arrive(&mut self, _now: Instant, number: RequestNumber, req: &ModelRequest) -> Vec<Action> {
        let running = &mut self.running[req.instance];
        let start = self.random.below(TARGETS as u64) as usize;
        let order = (0..TARGETS).map(|index| (start + index) % TARGETS);
        let target = order.min_by_key(|target| running[*target]).unwrap_or(start);
        running[target] += 1;
        vec![Action::Start(number, target)]
    }

    fn finish(&mut self, _: Instant, instance: usize, target: usize, _: Duration) -> Vec<Action> {
        self.running[instance][target] -= 1;
        Vec::new()
    }
}

/// Divides the slots of all targets evenly among the instances; the first target is cold.
fn grants() -> Vec<Vec<u32>> {
    let mut grants = vec![vec![0; TARGETS]; INSTANCES];
    let slots = |target| if target == 0 { COLD_SLOTS } else { SLOTS };
    let owned = (0..TARGETS).flat_map(|target| std::iter::repeat_n(target, slots(target) as usize));
    for (number, target) in owned.enumerate() {
        grants[number % INSTANCES][target] += 1;
    }
    grants
}

fn generate_load(load: f64) -> Vec<ModelRequest> {
    let random = SeededRandom::new(7);
    let shares = [(Precedence::Live, 0.2), (Precedence::Interactive, 0.6), (Precedence::Bulk, 0.2)];
    let mut all = Vec::new();
    for (precedence, share) in shares {
        let template = ModelRequest {
            at: Duration::ZERO,
            instance: 0,
            precedence,
            caller: 0,
            timeout: TIMEOUT,
            service_time: MEAN_SERVICE_TIME,
        };
        let span = (Duration::ZERO, LOAD_DURATION);
        all.extend(generate_requests(
            &random,
            span,
            CAPACITY_PER_SECOND * load * share,
            MEAN_SERVICE_TIME,
            &template,
        ));
    }
    for req in &mut all {
        req.instance = random.below(INSTANCES as u64) as usize;
        req.caller = random.below(50) as u32;
    }
    all
}

fn report(name: &str, load: f64, requests: &[ModelRequest], policy: &mut dyn Policy) -> f64 {
    let model = SlotModel::run(requests, TARGETS, SLOTS, policy);
    let goodput = model.goodput(Duration::ZERO, LOAD_DURATION) as f64 / LOAD_DURATION.as_secs_f64();
    let last =
        model.outcomes.iter().filter_map(|outcome| outcome.finished).max().unwrap_or(LOAD_DURATION);
    let slots = f64::from(SLOTS) * TARGETS as f64;
    let utilisation = model.total_service_time.as_secs_f64() / (last.as_secs_f64() * slots);
    let refused = model.outcomes.iter().filter(|outcome| outcome.started.is_none()).count();
    println!(
        "{load:.1}x {name:<18} goodput {goodput:6.1}/s  utilisation {utilisation:.2}  \
         cold peak {} of {COLD_SLOTS}  never started {refused}",
        model.peak_running[0]
    );
    for precedence in PRECEDENCES {
        let waits = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3);
        let mut waits = waits.expect("the bounds are valid");
        let matching =
            requests.iter().zip(&model.outcomes).filter(|it| it.0.precedence == precedence);
        for (_, outcome) in matching {
            if let Some(started) = outcome.started {
                waits.saturating_record((started - outcome.arrived).as_micros() as u64);
            }
        }
        let millis = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "       {precedence:?}: wait p50 {:.1} ms, p99 {:.1} ms",
            millis(0.5),
            millis(0.99)
        );
    }
    goodput
}

fn main() {
    for load in LOAD_FACTORS {
        let requests = generate_load(load);
        let granted_goodput =
            report("granted", load, &requests, &mut GrantedSlots::new(grants(), QUEUE_LENGTH, 1));
        let random = SeededRandom::new(1);
        let mut policy = RandomChoice { random, running: vec![0; INSTANCES] };
        let random_goodput = report("random with limit", load, &requests, &mut policy);
        let random = SeededRandom::new(1);
        let running = vec![vec![0; TARGETS]; INSTANCES];
        let mut policy = LeastOutstanding { random, running };
        let least_goodput = report("least outstanding", load, &requests, &mut policy);
        println!(
            "{load:.1}x goodput ratio: {:.2} to random, {:.2} to least outstanding\n",
            granted_goodput / random_goodput,
            granted_goodput / least_goodput
        );
    }
}
