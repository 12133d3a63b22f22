//! Tests that all instances together use no more than a cold target's capacity while it warms up,
//! and that failures, refusals and high latency of its traffic make a warm target cold again.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::health::Health;
use hollyhead::record::ColdStart;
use hollyhead::slow_start::{
    capacity, SignalQuality, SlowStart, SlowStartState, COLD_HOLD, SIGNAL_WINDOW, WARM_PER_MILLE,
};
use hollyhead::target::Signals;
use testutils::gossip_fleet::DATA_CENTRE;
use testutils::grant_harness::{target_name, target_object, GrantHarness, UsableCapacity};
use testutils::records;
use tokio::time::Instant;

const RAMP: Duration = Duration::from_secs(10);
const COLD: ColdStart = ColdStart { slots: 1, connections: 50, ramp: RAMP };

/// Returns the capacity of a target in connections when `elapsed` has passed since its start.
fn capacity_after(elapsed: Duration) -> u32 {
    50 + (1_950 * elapsed.as_millis().min(10_000) / 10_000) as u32
}

#[tokio::test(start_paused = true)]
async fn allocate_cold_service_sum_follows_ramp() {
    let mut harness = GrantHarness::new(1, 3, RAMP);
    harness.load_all(50);
    let start = Instant::now();
    let check = |_: &GrantHarness, usable: &[UsableCapacity]| {
        let elapsed = start.elapsed();
        for sum in usable {
            assert!(sum.connections <= capacity_after(elapsed), "{elapsed:?}: {sum:?}");
            assert!(elapsed >= RAMP || sum.slots <= 1, "{elapsed:?}: {sum:?}");
        }
    };
    harness.run_for(Duration::from_secs(20), check).await;
    assert_eq!(harness.usable(1).slots, 2);
}

#[tokio::test(start_paused = true)]
async fn allocate_allocator_killed_keeps_warm_up() {
    for seed in 2..6 {
        let mut harness = GrantHarness::new(seed, 3, RAMP);
        let start = Instant::now();
        harness.load_all(50);
        let check = |_: &GrantHarness, usable: &[UsableCapacity]| {
            let elapsed = start.elapsed();
            assert!(
                usable.iter().all(|sum| sum.connections <= capacity_after(elapsed)),
                "{elapsed:?}"
            );
        };
        harness.run_for(Duration::from_secs(6), check).await;
        let allocator = harness.allocator("a");
        harness.fleet.kill(&allocator);
        harness.run_for(Duration::from_secs(5), check).await;
        let kernel = harness.fleet.kernels().next().unwrap().clone();
        let warm_up_per_mille =
            kernel.target(&target_name(1)).unwrap().warm_up_per_mille().unwrap();
        assert!(warm_up_per_mille >= 500, "{warm_up_per_mille}");
    }
}

#[tokio::test(start_paused = true)]
async fn allocate_new_target_starts_cold() {
    let mut harness = GrantHarness::new(6, 2, RAMP);
    harness.load_all(50);
    harness.run_for(Duration::from_secs(15), |_, _| {}).await;
    harness.fleet.apply(&[target_object(3, 100)]);
    harness.targets = 3;
    let start = Instant::now();
    let check = |_: &GrantHarness, usable: &[UsableCapacity]| {
        let elapsed = start.elapsed();
        assert!(usable[2].connections <= capacity_after(elapsed) && usable[2].running <= 2);
        assert!(elapsed >= RAMP || usable[2].slots <= 1, "{elapsed:?}: {:?}", usable[2]);
    };
    harness.run_for(Duration::from_secs(12), check).await;
}

#[tokio::test(start_paused = true)]
async fn allocate_sheds_at_full_load_is_cold_again() {
    let mut harness = GrantHarness::new(7, 5, Duration::from_secs(2));
    harness.load_all(50);
    harness.run_for(Duration::from_secs(10), |_, _| {}).await;
    assert_eq!(harness.usable(1).slots, 2);
    let start = Instant::now();
    let shed_all = |harness: &GrantHarness, usable: &[UsableCapacity]| {
        for kernel in harness.fleet.kernels() {
            let handle = kernel.target(&target_name(1)).unwrap();
            (0..handle.running_requests()).for_each(|_| handle.record_shed());
        }
        if start.elapsed() > Duration::from_secs(3) {
            assert!(usable[0].slots <= 1, "{:?}", start.elapsed());
            assert!(usable[1].connections > 1_000);
        }
    };
    harness.run_for(Duration::from_secs(8), shed_all).await;
    harness.run_for(Duration::from_secs(8), |_, _| {}).await;
    assert_eq!(harness.usable(1).slots, 2);
}

#[tokio::test(start_paused = true)]
async fn allocate_whole_service_fails_half_stays_warm() {
    let mut harness = GrantHarness::new(8, 4, Duration::from_secs(2));
    harness.load_all(50);
    harness.run_for(Duration::from_secs(10), |_, _| {}).await;
    let fail_all = |harness: &GrantHarness, usable: &[UsableCapacity]| {
        for kernel in harness.fleet.kernels() {
            for number in 1..=4 {
                let handle = kernel.target(&target_name(number)).unwrap();
                (0..handle.running_requests()).for_each(|_| handle.record_failure());
            }
        }
        let warm = usable.iter().filter(|sum| sum.connections > 1_000).count();
        assert!(warm >= 2, "{usable:?}");
    };
    harness.run_for(Duration::from_secs(10), fail_all).await;
}

fn signals(answered: u32, shed: u32, latency_ms: u32) -> Signals {
    Signals { answered, shed, failed: 0, latency_ms: latency_ms * answered }
}

fn evaluate(slow_start: &mut SlowStart, now: &mut Instant, signals: &Signals) -> SignalQuality {
    slow_start.record_signals(signals, *now);
    *now += SIGNAL_WINDOW;
    slow_start.evaluate_window(*now).unwrap()
}

#[test]
fn evaluate_window_latency_against_own_baseline() {
    let mut now = Instant::now();
    let mut slow_start = SlowStart::new(now);
    for _ in 0..10 {
        assert_eq!(evaluate(&mut slow_start, &mut now, &signals(10, 0, 40)), SignalQuality::Good);
    }
    assert_eq!(evaluate(&mut slow_start, &mut now, &signals(10, 0, 80)), SignalQuality::Good);
    assert_eq!(evaluate(&mut slow_start, &mut now, &signals(10, 0, 400)), SignalQuality::Bad);
    assert_eq!(
        evaluate(&mut slow_start, &mut now, &signals(1, 1, 40)),
        SignalQuality::TooFewSamples
    );
    assert_eq!(evaluate(&mut slow_start, &mut now, &signals(6, 4, 40)), SignalQuality::Bad);
}

#[test]
fn advance_cold_holds_then_warms() {
    let mut now = Instant::now();
    let mut slow_start = SlowStart::new(now);
    slow_start.mark_cold(now);
    slow_start.advance(RAMP, now + COLD_HOLD / 2);
    assert!(matches!(slow_start.state(), SlowStartState::Cold { .. }));
    now += COLD_HOLD;
    slow_start.advance(RAMP, now);
    assert!(matches!(slow_start.state(), SlowStartState::Warming { from_per_mille: 0, .. }));
    assert_eq!(slow_start.warm_up_per_mille(RAMP, now + RAMP / 2), WARM_PER_MILLE / 2);
    slow_start.advance(RAMP, now + RAMP);
    assert_eq!(slow_start.state(), SlowStartState::Warm);
}

#[test]
fn adopt_least_told_counts() {
    let now = Instant::now();
    let mut slow_start = SlowStart::new(now);
    for (reported, effective) in [(700, 700), (900, 700), (400, 400)] {
        slow_start.adopt(reported, now);
        assert_eq!(slow_start.warm_up_per_mille(RAMP, now), effective);
    }
}

#[test]
fn capacity_cold_target_bears_at_least_one() {
    let address = "10.7.0.1:6080".parse().unwrap();
    let body = records::target("quaydesk-1", "quaydesk", DATA_CENTRE, address, address);
    let target = serde_json::from_value(body).unwrap();
    let none = ColdStart { slots: 0, connections: 0, ramp: RAMP };
    assert_eq!(capacity(&target, &none, 0).slots, 1);
    assert_eq!(capacity(&target, &COLD, WARM_PER_MILLE / 2).connections, 1_025);
}

async fn connections_after_probes(seed: u64, health: Health, answers: bool, ramp: Duration) -> u32 {
    let mut harness = GrantHarness::new(seed, 4, ramp);
    harness.load_all(50);
    harness.failing_target = (!answers).then(|| target_name(1));
    harness.run_for(Duration::from_secs(6), |_, _| {}).await;
    for _ in 0..10 {
        harness.run_for(Duration::from_secs(2), |_, _| {}).await;
        for kernel in harness.fleet.kernels() {
            let targets = kernel.targets_with_local_allocator();
            for target in targets.iter().filter(|target| target.name == target_name(1)) {
                kernel.note_health(target, health, Instant::now());
            }
        }
    }
    harness.usable(1).connections
}

#[tokio::test(start_paused = true)]
async fn note_health_unhealthy_working_target_stays_warm() {
    let ramp = Duration::from_secs(1);
    assert!(connections_after_probes(30, Health::Unhealthy, true, ramp).await > 1_000);
}

#[tokio::test(start_paused = true)]
async fn note_health_healthy_failing_target_stays_cold() {
    let ramp = Duration::from_secs(60);
    assert!(connections_after_probes(31, Health::Healthy, false, ramp).await <= 50);
}

#[tokio::test(start_paused = true)]
async fn note_health_unhealthy_silent_target_is_kept_cold_not_ejected() {
    let mut harness = GrantHarness::new(32, 4, Duration::from_secs(1));
    harness.run_for(Duration::from_secs(6), |_, _| {}).await;
    for _ in 0..4 {
        for kernel in harness.fleet.kernels() {
            for target in kernel.targets_with_local_allocator() {
                kernel.note_health(&target, Health::Unhealthy, Instant::now());
            }
        }
        harness.run_for(Duration::from_secs(1), |_, _| {}).await;
    }
    let usable: Vec<_> = (1..=4).map(|number| harness.usable(number).connections).collect();
    assert_eq!(usable.iter().filter(|connections| **connections <= 50).count(), 2, "{usable:?}");
    assert!(usable.iter().all(|connections| *connections > 0), "{usable:?}");
}
