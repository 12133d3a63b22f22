//! Tests that the grants of all instances never add up to more than a target's capacity, while
//! instances crash, restart and leave, and while the network loses and delays messages.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::memory_network::LinkQuality;
use testutils::grant_harness::{GrantHarness, UsableCapacity, CONNECTIONS, INSTANCES, SLOTS};

const TARGETS: usize = 15;
const WARM_UP: Duration = Duration::from_secs(6);

fn check_capacity(_: &GrantHarness, usable: &[UsableCapacity]) {
    for (index, sum) in usable.iter().enumerate() {
        assert!(sum.slots <= SLOTS, "target {index}: {sum:?}");
        assert!(sum.connections <= CONNECTIONS, "target {index}: {sum:?}");
        assert!(sum.running <= SLOTS, "target {index}: {sum:?}");
    }
}

async fn warmed_up_harness(seed: u64, waiting: u32) -> GrantHarness {
    let mut harness = GrantHarness::new(seed, TARGETS, Duration::from_secs(1));
    harness.load_all(waiting);
    harness.run_for(WARM_UP, check_capacity).await;
    harness
}

fn total_slots(usable: &[UsableCapacity]) -> u32 {
    usable.iter().map(|sum| sum.slots).sum()
}

#[tokio::test(start_paused = true)]
async fn allocate_equal_demand_divides_all_slots_evenly() {
    let mut harness = warmed_up_harness(1, 50).await;
    let mut least = u32::MAX;
    harness
        .run_for(Duration::from_secs(2), |_, usable| least = least.min(total_slots(usable)))
        .await;
    assert_eq!(least, SLOTS * TARGETS as u32);
    for name in INSTANCES {
        assert!((3..=4).contains(&harness.slots_of(name)), "{name}: {}", harness.slots_of(name));
    }
}

#[tokio::test(start_paused = true)]
async fn allocate_steady_demand_keeps_slots_busy() {
    for (seed, loaded) in [(21, 1), (22, 3), (23, 8)] {
        let mut harness = warmed_up_harness(seed, 0).await;
        for name in &INSTANCES[..loaded] {
            harness.waiting.insert((*name).into(), 100);
        }
        harness.run_for(Duration::from_secs(4), check_capacity).await;
        let before = harness.started;
        harness.run_for(Duration::from_secs(30), check_capacity).await;
        let busy_slots = (harness.started - before) * 200 / 30_000;
        println!("{loaded} instances with demand: {busy_slots} of 30 slots busy");
        assert!(busy_slots >= 27, "{loaded} instances with demand: {busy_slots} of 30 slots busy");
    }
}

#[tokio::test(start_paused = true)]
async fn allocate_demand_moves_slots_follow() {
    let mut harness = warmed_up_harness(2, 0).await;
    for name in ["c", "f"] {
        harness.waiting.insert(name.into(), 100);
        harness.run_for(Duration::from_secs(4), check_capacity).await;
        assert_eq!(harness.slots_of(name), SLOTS * TARGETS as u32);
        harness.waiting.insert(name.into(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn answer_allocator_killed_sum_stays_within_bounds() {
    for seed in 3..8 {
        let mut harness = warmed_up_harness(seed, 50).await;
        let allocator = harness.allocator("a");
        harness.fleet.kill(&allocator);
        let (mut empty_steps, mut steps) = (0, 0);
        let check_and_count = move |harness: &GrantHarness, usable: &[UsableCapacity]| {
            check_capacity(harness, usable);
            steps += 1;
            empty_steps += u32::from(total_slots(usable) == 0);
            if steps == 2_000 {
                println!("seed {seed}: {} ms without any slot", empty_steps * 10);
            }
        };
        harness.run_for(Duration::from_secs(20), check_and_count).await;
        let usable: Vec<_> = (1..=TARGETS).map(|number| harness.usable(number)).collect();
        assert_eq!(total_slots(&usable), SLOTS * TARGETS as u32);
    }
}

#[tokio::test(start_paused = true)]
async fn answer_every_instance_replaced_sum_stays_within_bounds() {
    let mut harness = warmed_up_harness(9, 50).await;
    for name in INSTANCES {
        let kernel = harness.fleet.kernel(name).unwrap().clone();
        kernel.leave(tokio::time::Instant::now());
        harness.run_for(Duration::from_secs(3), check_capacity).await;
        harness.fleet.kill(name);
        harness.fleet.start(name, testutils::grant_harness::DATA_CENTRE);
        harness.run_for(Duration::from_secs(3), check_capacity).await;
    }
}

#[tokio::test(start_paused = true)]
async fn answer_lossy_network_sum_stays_within_bounds() {
    let mut harness = warmed_up_harness(10, 20).await;
    harness.fleet.network().set_quality(LinkQuality {
        jitter: Duration::from_millis(400),
        loss_per_mille: 200,
        duplicates_per_mille: 100,
        ..LinkQuality::default()
    });
    for round in 0..10 {
        harness.load_all(0);
        harness.waiting.insert(INSTANCES[round % 8].into(), 100);
        harness.run_for(Duration::from_secs(3), check_capacity).await;
    }
}

#[tokio::test(start_paused = true)]
async fn tick_control_bytes_stay_within_budget() {
    const LIMIT_BYTES_PER_SECOND: u64 = 4_000;
    let mut harness = warmed_up_harness(11, 5).await;
    harness.run_for(Duration::from_secs(10), check_capacity).await;
    let sent = |harness: &GrantHarness| -> Vec<u64> {
        let ip = |name: &&str| harness.fleet.ip(name).unwrap();
        INSTANCES.iter().map(|name| harness.fleet.network().sent_bytes(ip(name))).collect()
    };
    let before = sent(&harness);
    harness.run_for(Duration::from_secs(10), check_capacity).await;
    let rates = sent(&harness).into_iter().zip(before).map(|(after, before)| (after - before) / 10);
    let max_bytes_per_second = rates.max().unwrap();
    println!("{TARGETS} targets, 8 owners: at most {max_bytes_per_second} bytes/s");
    assert!(max_bytes_per_second <= LIMIT_BYTES_PER_SECOND, "{max_bytes_per_second} bytes/s");
}
