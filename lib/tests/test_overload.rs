//! Goodput of admission control under overload, in virtual time.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::random::SeededRandom;
use hollyhead::record::Precedence;
use testutils::slot_model::{generate_requests, GrantedSlots, ModelRequest, SlotModel};

const TARGETS: usize = 15;
const SLOTS_PER_TARGET: u32 = 2;
const QUEUE_CAPACITY: usize = 512;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Number of requests that all slots together complete in a second.
const CAPACITY_PER_SECOND: f64 = 600.0;
const SEED: u64 = 11;

fn template(precedence: Precedence, caller: u32) -> ModelRequest {
    ModelRequest {
        at: Duration::ZERO,
        instance: 0,
        precedence,
        caller,
        timeout: Duration::from_secs(2),
        service_time: MEAN_SERVICE_TIME,
    }
}

fn load(from: u64, to: u64, factor: f64, template: &ModelRequest) -> Vec<ModelRequest> {
    let random = SeededRandom::new(SEED + from);
    let span = (Duration::from_secs(from), Duration::from_secs(to));
    generate_requests(&random, span, CAPACITY_PER_SECOND * factor, MEAN_SERVICE_TIME, template)
}

fn run(requests: &[ModelRequest]) -> SlotModel<'_> {
    let slots = vec![vec![SLOTS_PER_TARGET; TARGETS]];
    SlotModel::run(
        requests,
        TARGETS,
        SLOTS_PER_TARGET,
        &mut GrantedSlots::new(slots, QUEUE_CAPACITY, SEED),
    )
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn goodput_triple_load_stays_near_capacity() {
    let interactive = template(Precedence::Interactive, 1);
    let at_capacity = load(0, 40, 1.0, &interactive);
    let triple = load(0, 40, 3.0, &interactive);
    let at_capacity = run(&at_capacity).goodput(secs(5), secs(40));
    let overloaded = run(&triple);
    let triple = overloaded.goodput(secs(5), secs(40));
    assert!(
        triple * 10 >= at_capacity * 9,
        "goodput {triple} at triple load, {at_capacity} at capacity"
    );
    assert!(overloaded.peak_running.iter().all(|peak| *peak <= SLOTS_PER_TARGET));
}

#[test]
fn goodput_after_tenfold_pulse_recovers() {
    let interactive = template(Precedence::Interactive, 1);
    let mut requests = load(0, 60, 0.7, &interactive);
    let offered = requests.iter().filter(|req| (secs(25)..secs(35)).contains(&req.at)).count();
    requests.extend(load(10, 20, 10.0, &interactive));
    let model = run(&requests);
    let good = model.goodput(secs(25), secs(35));
    assert!(good * 100 >= offered * 95, "{good} of {offered} requests completed in time");
}

#[test]
fn goodput_bulk_keeps_its_share() {
    let mut requests = load(0, 30, 3.0, &template(Precedence::Interactive, 1));
    let bulk = ModelRequest { timeout: secs(20), ..template(Precedence::Bulk, 2) };
    requests.extend(load(0, 30, 0.5, &bulk));
    let model = run(&requests);
    let finished = requests.iter().zip(&model.outcomes).filter(|(req, outcome)| {
        let is_in = outcome.finished.is_some_and(|at| (secs(5)..secs(30)).contains(&at));
        req.precedence == Precedence::Bulk && is_in && outcome.is_in_time
    });
    let share = finished.count() as f64 / (CAPACITY_PER_SECOND * 25.0);
    assert!(share >= 0.2 * 0.9, "goodput of bulk requests is {share} of the capacity");
}

#[test]
fn goodput_storm_of_one_caller_spares_others() {
    let mut requests = load(0, 30, 5.0, &template(Precedence::Interactive, 1));
    for caller in 2..12 {
        let one = template(Precedence::Interactive, caller);
        let random = SeededRandom::new(u64::from(caller));
        let per_second = CAPACITY_PER_SECOND * 0.05;
        requests.extend(generate_requests(
            &random,
            (secs(0), secs(30)),
            per_second,
            MEAN_SERVICE_TIME,
            &one,
        ));
    }
    let model = run(&requests);
    let others = || requests.iter().zip(&model.outcomes).filter(|(req, _)| req.caller != 1);
    let good = others().filter(|(_, outcome)| outcome.is_in_time && outcome.refusals == 0).count();
    assert!(
        good * 100 >= others().count() * 99,
        "{good} of {} requests completed in time without a refusal",
        others().count()
    );
}

#[test]
fn goodput_higher_precedence_goes_first() {
    let mut requests = load(0, 20, 2.0, &template(Precedence::Interactive, 1));
    requests.extend(load(0, 20, 0.5, &template(Precedence::Live, 2)));
    let model = run(&requests);
    let live =
        || requests.iter().zip(&model.outcomes).filter(|it| it.0.precedence == Precedence::Live);
    let good = live().filter(|(_, outcome)| outcome.is_in_time && outcome.refusals == 0).count();
    assert!(
        good * 100 >= live().count() * 99,
        "{good} of {} requests completed in time without a refusal",
        live().count()
    );
}
