//! Tests that fault plans are reproducible from their seed, ordered and bounded in time.

use std::time::Duration;

use hollyhead_soak::fault_plan::{plan, PlanParameters};

const PARAMETERS: PlanParameters = PlanParameters {
    instances: 6,
    targets: 12,
    data_centres: 3,
    injection_time: Duration::from_secs(60),
    mean_interval: Duration::from_millis(500),
};

#[test]
fn plan_with_the_same_seed_is_the_same() {
    assert_eq!(plan(7, &PARAMETERS), plan(7, &PARAMETERS));
    assert_ne!(plan(7, &PARAMETERS), plan(8, &PARAMETERS));
}

#[test]
fn plan_is_in_order_and_within_its_time() {
    let faults = plan(7, &PARAMETERS);
    assert!(faults.len() > 50);
    assert!(faults.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    assert!(faults.iter().all(|(at, _)| *at < PARAMETERS.injection_time));
}
