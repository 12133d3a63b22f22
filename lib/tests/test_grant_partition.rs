//! When a network partition splits the instances of a data centre, the grants of both sides together
//! do not exceed the capacity of a target.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use testutils::grant_harness::{GrantHarness, UsableCapacity, CONNECTIONS, INSTANCES, SLOTS};

const TARGETS: usize = 5;

fn assert_within_capacity(_: &GrantHarness, usable: &[UsableCapacity]) {
    for (index, sum) in usable.iter().enumerate() {
        assert!(sum.slots <= SLOTS, "too many slots granted for target {index}: {sum:?}");
        assert!(
            sum.connections <= CONNECTIONS,
            "too many connections granted for target {index}: {sum:?}"
        );
    }
}

/// Cuts the network between the first `boundary` instances and the rest, heals it, and returns the
/// slots that each side could use at the end of the partition.
async fn partition_and_heal(seed: u64, boundary: usize) -> (u32, u32) {
    let mut harness = GrantHarness::new(seed, TARGETS, Duration::from_secs(1));
    harness.load_all(50);
    harness.run_for(Duration::from_secs(6), assert_within_capacity).await;
    let (left, right) = INSTANCES.split_at(boundary);
    harness.fleet.cut(left, right);
    harness.run_for(Duration::from_secs(30), assert_within_capacity).await;
    let slots = |names: &[&str]| names.iter().map(|name| harness.slots_of(name)).sum();
    let slots_by_side = (slots(left), slots(right));
    harness.fleet.network().heal();
    harness.run_for(Duration::from_secs(30), assert_within_capacity).await;
    let sum: u32 = (1..=TARGETS).map(|number| harness.usable(number).slots).sum();
    assert_eq!(sum, SLOTS * TARGETS as u32);
    slots_by_side
}

#[tokio::test(start_paused = true)]
async fn cut_halves_each_serve_half() {
    let half = SLOTS / 2 * TARGETS as u32;
    for seed in 0..5 {
        assert_eq!(partition_and_heal(seed, 4).await, (half, half));
    }
}

#[tokio::test(start_paused = true)]
async fn cut_minority_leaves_the_rest_to_majority() {
    for seed in 0..5 {
        assert_eq!(partition_and_heal(seed, 2).await, (0, SLOTS * TARGETS as u32));
    }
}
