//! A frozen allocator or owner comes back without giving out what others have meanwhile.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use testutils::lenders::{Lenders, Usable, CONNECTIONS, INSTANCES, SLOTS};

const TARGETS: usize = 5;

fn check(_: &Lenders, usable: &[Usable]) {
    for (index, sum) in usable.iter().enumerate() {
        assert!(sum.slots <= SLOTS, "target {index}: {sum:?}");
        assert!(sum.connections <= CONNECTIONS, "target {index}: {sum:?}");
    }
}

async fn warm(seed: u64) -> Lenders {
    let mut lenders = Lenders::new(seed, TARGETS, Duration::from_secs(1));
    lenders.load_all(50);
    lenders.run_for(Duration::from_secs(6), check).await;
    lenders
}

#[tokio::test(start_paused = true)]
async fn freeze_allocator_sum_stays_within_bounds() {
    for (seed, seconds) in [(1, 2), (2, 5), (3, 10), (4, 30)] {
        let mut lenders = warm(seed).await;
        let allocator = lenders.allocator("a");
        lenders.fleet.freeze(&allocator);
        lenders.run_for(Duration::from_secs(seconds), check).await;
        lenders.fleet.thaw(&allocator);
        lenders.run_for(Duration::from_secs(15), check).await;
        for name in INSTANCES {
            assert!(lenders.slots_of(name) > 0, "{name} after {seconds} s");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn freeze_owner_holds_no_grant_at_thaw() {
    let mut lenders = warm(5).await;
    let owner = INSTANCES.into_iter().find(|name| *name != lenders.allocator("a")).unwrap();
    lenders.fleet.freeze(owner);
    lenders.run_for(Duration::from_secs(10), check).await;
    assert_eq!(lenders.slots_of(owner), 0);
    lenders.fleet.thaw(owner);
    lenders.run_for(Duration::from_secs(10), check).await;
    assert!(lenders.slots_of(owner) > 0);
}

#[tokio::test(start_paused = true)]
async fn freeze_all_but_one_sum_stays_within_bounds() {
    let mut lenders = warm(6).await;
    for name in &INSTANCES[1..] {
        lenders.fleet.freeze(name);
    }
    lenders.run_for(Duration::from_secs(10), check).await;
    for name in &INSTANCES[1..] {
        lenders.fleet.thaw(name);
    }
    lenders.run_for(Duration::from_secs(15), check).await;
}
