//! Admission with granted slots against two baselines in the same run, in virtual time.
//!
//! Prints goodput, wait by precedence, slot utilisation, the peak of a cold target and refusals.

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
const QUEUE: usize = 512;
const MEAN: Duration = Duration::from_millis(50);
const CAPACITY: f64 = 600.0;
const SPAN: Duration = Duration::from_secs(60);
const TIMEOUT: Duration = Duration::from_secs(2);
const LOADS: [f64; 3] = [0.7, 1.0, 3.0];
const ALL: [Precedence; 3] = [Precedence::Live, Precedence::Interactive, Precedence::Bulk];
const MAX_WAIT_MICROS: u64 = 60_000_000;
const COME_BACK: Duration = Duration::from_secs(1);

/// Random choice of the target, with a limit on the running requests of each instance.
struct RandomChoice {
    random: SeededRandom,
    running: Vec<u32>,
}

impl Policy for RandomChoice {
    fn arrive(&mut self, _now: Instant, number: RequestNumber, req: &ModelRequest) -> Vec<Action> {
        let limit = (TARGETS as u32 * SLOTS).div_ceil(INSTANCES as u32);
        if self.running[req.instance] >= limit {
            return vec![Action::Refuse(number, COME_BACK)];
        }
        self.running[req.instance] += 1;
        vec![Action::Start(number, self.random.below(TARGETS as u64) as usize)]
    }

    fn finish(&mut self, _: Instant, instance: usize, _: usize, _: Duration) -> Vec<Action> {
        self.running[instance] -= 1;
        Vec::new()
    }
}

/// The target with the fewest requests of the same instance, without grants.
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

/// Divides the slots of every target among the instances; the first target is cold.
fn grants() -> Vec<Vec<u32>> {
    let mut grants = vec![vec![0; TARGETS]; INSTANCES];
    let slots = |target| if target == 0 { COLD_SLOTS } else { SLOTS };
    let owned = (0..TARGETS).flat_map(|target| std::iter::repeat_n(target, slots(target) as usize));
    for (number, target) in owned.enumerate() {
        grants[number % INSTANCES][target] += 1;
    }
    grants
}

fn offered(load: f64) -> Vec<ModelRequest> {
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
            service_time: MEAN,
        };
        let span = (Duration::ZERO, SPAN);
        all.extend(generate_requests(&random, span, CAPACITY * load * share, MEAN, &template));
    }
    for req in &mut all {
        req.instance = random.below(INSTANCES as u64) as usize;
        req.caller = random.below(50) as u32;
    }
    all
}

fn report(name: &str, load: f64, requests: &[ModelRequest], policy: &mut dyn Policy) -> f64 {
    let model = SlotModel::run(requests, TARGETS, SLOTS, policy);
    let goodput = model.goodput(Duration::ZERO, SPAN) as f64 / SPAN.as_secs_f64();
    let last = model.outcomes.iter().filter_map(|outcome| outcome.finished).max().unwrap_or(SPAN);
    let slots = f64::from(SLOTS) * TARGETS as f64;
    let utilisation = model.total_service_time.as_secs_f64() / (last.as_secs_f64() * slots);
    let refused = model.outcomes.iter().filter(|outcome| outcome.started.is_none()).count();
    println!(
        "{load:.1}x {name:<18} goodput {goodput:6.1}/s  utilisation {utilisation:.2}  \
         cold peak {} of {COLD_SLOTS}  refused for good {refused}",
        model.peak_running[0]
    );
    for precedence in ALL {
        let waits = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_MICROS, 3);
        let mut waits = waits.expect("the bounds are valid");
        let of_it = requests.iter().zip(&model.outcomes).filter(|it| it.0.precedence == precedence);
        for (_, outcome) in of_it {
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
    for load in LOADS {
        let requests = offered(load);
        let granted =
            report("granted", load, &requests, &mut GrantedSlots::new(grants(), QUEUE, 1));
        let random = SeededRandom::new(1);
        let mut policy = RandomChoice { random, running: vec![0; INSTANCES] };
        let by_random = report("random with limit", load, &requests, &mut policy);
        let random = SeededRandom::new(1);
        let running = vec![vec![0; TARGETS]; INSTANCES];
        let mut policy = LeastOutstanding { random, running };
        let by_least = report("least outstanding", load, &requests, &mut policy);
        println!(
            "{load:.1}x goodput ratio: {:.2} to random, {:.2} to least outstanding\n",
            granted / by_random,
            granted / by_least
        );
    }
}
