//! Measures the time until a change in the platform is in force at every instance of fleets of
//! several sizes, and the rate of calls to the platform during changes.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use testutils::config_fleet::ConfigFleet;

const DATA_CENTRES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
const SETTLE_TIME: Duration = Duration::from_secs(10);
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);
const MAX_PROPAGATION_TIME_P99: Duration = Duration::from_secs(2);

async fn measure(count: usize, changes: usize) -> Vec<Duration> {
    let mut fleet = ConfigFleet::new(1);
    for number in 0..count {
        fleet.start(&format!("i{number:02}"), DATA_CENTRES[number % DATA_CENTRES.len()]);
    }
    fleet.run_for(SETTLE_TIME).await;
    let (calls, start) = (fleet.platform.calls(), tokio::time::Instant::now());
    let mut times = Vec::new();
    for number in 0..changes {
        fleet.run_for(Duration::from_millis(37 * (number as u64 % 10))).await;
        let version = fleet.put("horn-east-b", if number % 2 == 0 { "out" } else { "in" });
        times.push(fleet.run_until(version, MAX_PROPAGATION_TIME).await.unwrap());
    }
    times.sort();
    let calls = (fleet.platform.calls() - calls) as f64 / start.elapsed().as_secs_f64();
    let per_data_centre = calls / DATA_CENTRES.len() as f64;
    println!(
        "{count} instances: median {:?}, longest {:?}",
        times[changes / 2],
        times[changes - 1]
    );
    println!("{count} instances: {per_data_centre:.1} calls/s per data centre during changes");
    times
}

#[tokio::test(start_paused = true)]
async fn publish_8_instances_is_in_force_in_time() {
    let times = measure(8, 100).await;
    assert!(times.iter().all(|time| *time < MAX_PROPAGATION_TIME_P99));
}

#[tokio::test(start_paused = true)]
async fn publish_64_instances_is_in_force_in_time() {
    let times = measure(64, 20).await;
    assert!(times.iter().all(|time| *time < MAX_PROPAGATION_TIME_P99));
}
