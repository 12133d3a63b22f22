//! A capacity allocator or owner that freezes and thaws does not use target capacity that was
//! granted to other instances meanwhile.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use testutils::grant_harness::{GrantHarness, UsableCapacity, CONNECTIONS, INSTANCES, SLOTS};

const TARGETS: usize = 5;

fn assert_within_capacity(_: &GrantHarness, usable: &[UsableCapacity]) {
    for (index, sum) in usable.iter().enumerate() {
        assert!(sum.slots <= SLOTS, "target {index}: {sum:?}");
        assert!(sum.connections <= CONNECTIONS, "target {index}: {sum:?}");
    }
}

async fn loaded_harness(seed: u64) -> GrantHarness {
    let mut harness = GrantHarness::new(seed, TARGETS, Duration::from_secs(1));
    harness.load_all(50);
    harness.run_for(Duration::from_secs(6), assert_within_capacity).await;
    harness
}

#[tokio::test(start_paused = true)]
async fn freeze_allocator_sum_stays_within_bounds() {
    for (seed, seconds) in [(1, 2), (2, 5), (3, 10), (4, 30)] {
        let mut harness = loaded_harness(seed).await;
        let allocator = harness.allocator("a");
        harness.fleet.freeze(&allocator);
        harness.run_for(Duration::from_secs(seconds), assert_within_capacity).await;
        harness.fleet.thaw(&allocator);
        harness.run_for(Duration::from_secs(15), assert_within_capacity).await;
        for name in INSTANCES {
            assert!(harness.slots_of(name) > 0, "{name} after {seconds} s");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn freeze_owner_holds_no_grant_at_thaw() {
    let mut harness = loaded_harness(5).await;
    let owner = INSTANCES.into_iter().find(|name| *name != harness.allocator("a")).unwrap();
    harness.fleet.freeze(owner);
    harness.run_for(Duration::from_secs(10), assert_within_capacity).await;
    assert_eq!(harness.slots_of(owner), 0);
    harness.fleet.thaw(owner);
    harness.run_for(Duration::from_secs(10), assert_within_capacity).await;
    assert!(harness.slots_of(owner) > 0);
}

#[tokio::test(start_paused = true)]
async fn freeze_all_but_one_sum_stays_within_bounds() {
    let mut harness = loaded_harness(6).await;
    for name in &INSTANCES[1..] {
        harness.fleet.freeze(name);
    }
    harness.run_for(Duration::from_secs(10), assert_within_capacity).await;
    for name in &INSTANCES[1..] {
        harness.fleet.thaw(name);
    }
    harness.run_for(Duration::from_secs(15), assert_within_capacity).await;
}
