//! Plans of faults follow their seed.

use std::time::Duration;

use hollyhead_soak::fault_plan::{plan, Shape};

const SHAPE: Shape = Shape {
    instances: 6,
    targets: 12,
    data_centres: 3,
    time: Duration::from_secs(60),
    gap: Duration::from_millis(500),
};

#[test]
fn plan_with_the_same_seed_is_the_same() {
    assert_eq!(plan(7, &SHAPE), plan(7, &SHAPE));
    assert_ne!(plan(7, &SHAPE), plan(8, &SHAPE));
}

#[test]
fn plan_is_in_order_and_within_its_time() {
    let faults = plan(7, &SHAPE);
    assert!(faults.len() > 50);
    assert!(faults.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    assert!(faults.iter().all(|(at, _)| *at < SHAPE.time));
}
