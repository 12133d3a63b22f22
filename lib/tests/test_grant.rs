//! Grants never add up to more than a target bears, whoever is the allocator.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::memory_network::LinkQuality;
use testutils::lenders::{Lenders, Usable, CONNECTIONS, INSTANCES, SLOTS};

const TARGETS: usize = 15;
const WARM_UP: Duration = Duration::from_secs(6);

fn check(_: &Lenders, usable: &[Usable]) {
    for (index, sum) in usable.iter().enumerate() {
        assert!(sum.slots <= SLOTS, "target {index}: {sum:?}");
        assert!(sum.connections <= CONNECTIONS, "target {index}: {sum:?}");
        assert!(sum.running <= SLOTS, "target {index}: {sum:?}");
    }
}

async fn warm(seed: u64, waiting: u32) -> Lenders {
    let mut lenders = Lenders::new(seed, TARGETS, Duration::from_secs(1));
    lenders.load_all(waiting);
    lenders.run_for(WARM_UP, check).await;
    lenders
}

fn total_slots(usable: &[Usable]) -> u32 {
    usable.iter().map(|sum| sum.slots).sum()
}

#[tokio::test(start_paused = true)]
async fn allocate_equal_demand_divides_all_slots_evenly() {
    let mut lenders = warm(1, 50).await;
    let mut least = u32::MAX;
    lenders
        .run_for(Duration::from_secs(2), |_, usable| least = least.min(total_slots(usable)))
        .await;
    assert_eq!(least, SLOTS * TARGETS as u32);
    for name in INSTANCES {
        assert!((3..=4).contains(&lenders.slots_of(name)), "{name}: {}", lenders.slots_of(name));
    }
}

#[tokio::test(start_paused = true)]
async fn allocate_steady_demand_keeps_slots_busy() {
    for (seed, loaded) in [(21, 1), (22, 3), (23, 8)] {
        let mut lenders = warm(seed, 0).await;
        for name in &INSTANCES[..loaded] {
            lenders.waiting.insert((*name).into(), 100);
        }
        lenders.run_for(Duration::from_secs(4), check).await;
        let before = lenders.started;
        lenders.run_for(Duration::from_secs(30), check).await;
        let served = (lenders.started - before) * 200 / 30_000;
        println!("{loaded} instances with demand: {served} of 30 slots busy");
        assert!(served >= 27, "{loaded} loaded: {served} of 30 slots");
    }
}

#[tokio::test(start_paused = true)]
async fn allocate_demand_moves_slots_follow() {
    let mut lenders = warm(2, 0).await;
    for name in ["c", "f"] {
        lenders.waiting.insert(name.into(), 100);
        lenders.run_for(Duration::from_secs(4), check).await;
        assert_eq!(lenders.slots_of(name), SLOTS * TARGETS as u32);
        lenders.waiting.insert(name.into(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn answer_allocator_killed_sum_stays_within_bounds() {
    for seed in 3..8 {
        let mut lenders = warm(seed, 50).await;
        let allocator = lenders.allocator("a");
        lenders.fleet.kill(&allocator);
        let (mut empty, mut steps) = (0, 0);
        let survivors = move |lenders: &Lenders, usable: &[Usable]| {
            check(lenders, usable);
            steps += 1;
            empty += u32::from(total_slots(usable) == 0);
            if steps == 2_000 {
                println!("seed {seed}: {} ms without any slot", empty * 10);
            }
        };
        lenders.run_for(Duration::from_secs(20), survivors).await;
        let usable: Vec<_> = (1..=TARGETS).map(|number| lenders.usable(number)).collect();
        assert_eq!(total_slots(&usable), SLOTS * TARGETS as u32);
    }
}

#[tokio::test(start_paused = true)]
async fn answer_every_instance_replaced_sum_stays_within_bounds() {
    let mut lenders = warm(9, 50).await;
    for name in INSTANCES {
        let kernel = lenders.fleet.kernel(name).unwrap().clone();
        kernel.leave(tokio::time::Instant::now());
        lenders.run_for(Duration::from_secs(3), check).await;
        lenders.fleet.kill(name);
        lenders.fleet.start(name, testutils::lenders::DATA_CENTRE);
        lenders.run_for(Duration::from_secs(3), check).await;
    }
}

#[tokio::test(start_paused = true)]
async fn answer_lossy_network_sum_stays_within_bounds() {
    let mut lenders = warm(10, 20).await;
    lenders.fleet.network().set_quality(LinkQuality {
        jitter: Duration::from_millis(400),
        loss_per_mille: 200,
        duplicates_per_mille: 100,
        ..LinkQuality::default()
    });
    for round in 0..10 {
        lenders.load_all(0);
        lenders.waiting.insert(INSTANCES[round % 8].into(), 100);
        lenders.run_for(Duration::from_secs(3), check).await;
    }
}

#[tokio::test(start_paused = true)]
async fn tick_control_bytes_stay_within_budget() {
    const LIMIT_BYTES_PER_SECOND: u64 = 4_000;
    let mut lenders = warm(11, 5).await;
    lenders.run_for(Duration::from_secs(10), check).await;
    let sent = |lenders: &Lenders| -> Vec<u64> {
        let ip = |name: &&str| lenders.fleet.ip(name).unwrap();
        INSTANCES.iter().map(|name| lenders.fleet.network().sent_bytes(ip(name))).collect()
    };
    let before = sent(&lenders);
    lenders.run_for(Duration::from_secs(10), check).await;
    let rates = sent(&lenders).into_iter().zip(before).map(|(after, before)| (after - before) / 10);
    let most = rates.max().unwrap();
    println!("{TARGETS} targets, 8 owners: at most {most} bytes/s");
    assert!(most <= LIMIT_BYTES_PER_SECOND, "{most} bytes/s");
}
