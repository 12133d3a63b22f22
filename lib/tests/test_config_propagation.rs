//! Tests that a change of the configuration is in force at every instance within 4 s, also during
//! faults of the network and the platform, and that no instance returns to an older version.

#![allow(clippy::unwrap_used)]

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::config::MAX_RECORD_BYTES;
use hollyhead::lease::RENEW_INTERVAL;
use hollyhead::memory_network::LinkQuality;
use hollyhead::platform::Platform;
use hollyhead::watcher::{ACQUIRE_INTERVAL, CANDIDATES_PER_BATCH, MAX_WATCHERS, WATCH_TIMEOUT};
use testutils::config_fleet::ConfigFleet;
use testutils::platform_link::LinkState;

/// Time within which a change must be in force at every instance.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Time in which a new fleet elects its watchers and receives the configuration.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const DATA_CENTRES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];

fn fleet_of(count: usize) -> ConfigFleet {
    let mut fleet = ConfigFleet::new(1);
    for number in 0..count {
        fleet.start(&format!("i{number:02}"), DATA_CENTRES[number % DATA_CENTRES.len()]);
    }
    fleet
}

async fn settled_fleet(count: usize) -> ConfigFleet {
    let mut fleet = fleet_of(count);
    let version = fleet.put("horn-east-a", "in");
    fleet.run_for(SETTLE_TIME).await;
    assert!(fleet.is_in_force(version));
    fleet
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i{number:02}")).collect()
}

fn names_in_data_centre(count: usize, index: usize) -> Vec<String> {
    let names = names(count);
    names.into_iter().skip(index).step_by(DATA_CENTRES.len()).collect()
}

#[tokio::test(start_paused = true)]
async fn publish_whole_fleet_is_in_force_in_time() {
    let mut fleet = settled_fleet(8).await;
    let version = fleet.put("horn-east-b", "out");
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
    assert!(fleet.fleet.kernels().all(|kernel| !kernel.config().is_in_service("horn-east-b")));
}

#[tokio::test(start_paused = true)]
async fn publish_lossy_network_is_in_force_in_time() {
    let mut fleet = settled_fleet(24).await;
    let quality = LinkQuality {
        loss_per_mille: 200,
        duplicates_per_mille: 100,
        jitter: Duration::from_millis(20),
        ..LinkQuality::default()
    };
    fleet.fleet.network().set_quality(quality);
    for _ in 0..5 {
        let version = fleet.put("horn-east-b", "out");
        assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn watch_calls_grow_with_data_centres_only() {
    let per_second = |interval: Duration| 1.0 / interval.as_secs_f64();
    let holder = per_second(RENEW_INTERVAL) + per_second(WATCH_TIMEOUT);
    let candidate = MAX_WATCHERS as f64 * per_second(ACQUIRE_INTERVAL);
    let bound = MAX_WATCHERS as f64 * holder + CANDIDATES_PER_BATCH as f64 * candidate;
    for count in [12, 36, 60] {
        let mut fleet = settled_fleet(count).await;
        let before = fleet.platform.calls();
        fleet.run_for(Duration::from_secs(20)).await;
        let calls = (fleet.platform.calls() - before) as f64 / 20.0 / DATA_CENTRES.len() as f64;
        assert!(
            calls <= bound,
            "{calls} calls/s per data centre in a fleet of {count} instances, limit {bound}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn watch_holders_are_at_most_two_in_a_data_centre() {
    let mut fleet = settled_fleet(24).await;
    fleet.run_for(Duration::from_secs(20)).await;
    let leases = fleet.platform.list("lease").await.unwrap().objects;
    assert_eq!(leases.len(), MAX_WATCHERS * DATA_CENTRES.len());
}

#[tokio::test(start_paused = true)]
async fn watch_silent_is_found_in_time() {
    let mut fleet = settled_fleet(8).await;
    fleet.platform.set_stalled_watches(true);
    fleet.run_for(Duration::from_secs(1)).await;
    let version = fleet.put("horn-east-b", "out");
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn watch_compacted_lists_again() {
    let mut fleet = settled_fleet(8).await;
    for name in names(8) {
        fleet.set_link(&name, LinkState::Cut);
    }
    fleet.run_for(Duration::from_secs(3)).await;
    let version = fleet.put("horn-east-b", "out");
    fleet.platform.compact();
    for name in names(8) {
        fleet.set_link(&name, LinkState::Up);
    }
    assert!(fleet.run_until(version, Duration::from_secs(10)).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn delete_unwatched_does_not_come_back() {
    let mut fleet = settled_fleet(8).await;
    let version = fleet.put("horn-east-b", "out");
    fleet.run_until(version, MAX_PROPAGATION_TIME).await.unwrap();
    fleet.fleet.network().cut(ip(&fleet, "i00"), ip(&fleet, "i03"));
    fleet.platform.set_stalled_watches(true);
    fleet.platform.delete("data_centre", "horn-east-b", version).await.unwrap();
    fleet.run_for(MAX_PROPAGATION_TIME).await;
    assert!(fleet.fleet.kernels().all(|kernel| kernel.config().is_in_service("horn-east-b")));
    fleet.start("late", "horn-east-a");
    fleet.run_for(SETTLE_TIME).await;
    assert!(fleet.fleet.kernels().all(|kernel| kernel.config().is_in_service("horn-east-b")));
}

#[tokio::test(start_paused = true)]
async fn platform_down_joiners_get_configuration_from_peers() {
    let mut fleet = settled_fleet(8).await;
    let version = fleet.put("horn-east-b", "out");
    fleet.run_until(version, MAX_PROPAGATION_TIME).await.unwrap();
    fleet.platform.set_down(true);
    for number in 0..7 {
        fleet.kill(&format!("i{number:02}"));
        fleet.start(&format!("n{number:02}"), DATA_CENTRES[number % DATA_CENTRES.len()]);
        fleet.run_for(Duration::from_secs(60)).await;
        assert!(fleet.is_in_force(version));
    }
    fleet.platform.set_down(false);
    let version = fleet.put("horn-east-b", "in");
    assert!(fleet.run_until(version, Duration::from_secs(12)).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn platform_slow_is_in_force_in_time() {
    let mut fleet = settled_fleet(8).await;
    fleet.platform.set_delay(Duration::from_millis(1_500));
    fleet.run_for(SETTLE_TIME).await;
    let version = fleet.put("horn-east-b", "out");
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn data_centre_cut_from_platform_hears_of_being_out() {
    let mut fleet = settled_fleet(9).await;
    for name in names_in_data_centre(9, 1) {
        fleet.set_link(&name, LinkState::Cut);
    }
    fleet.run_for(Duration::from_secs(30)).await;
    let version = fleet.put("horn-east-b", "out");
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn data_centre_partitioned_catches_up_and_never_falls() {
    let mut fleet = settled_fleet(9).await;
    let (cut, others) =
        (names_in_data_centre(9, 1), [names_in_data_centre(9, 0), names_in_data_centre(9, 2)]);
    let others = others.concat();
    fleet.fleet.cut(&as_strs(&cut), &as_strs(&others));
    for name in &cut {
        fleet.set_link(name, LinkState::Cut);
    }
    let version = fleet.put("horn-east-b", "out");
    fleet.run_for(Duration::from_secs(60)).await;
    assert!(!fleet.is_in_force(version));
    fleet.fleet.network().heal();
    fleet.fleet.update_instances();
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn paused_holder_wakes_and_does_no_harm() {
    let mut fleet = settled_fleet(8).await;
    for name in names(8) {
        fleet.set_link(&name, LinkState::Paused);
    }
    let old = fleet.put("horn-east-b", "out");
    fleet.run_for(Duration::from_millis(500)).await;
    fleet.start("fresh", "horn-east-a");
    fleet.run_for(Duration::from_secs(15)).await;
    let version = fleet.put("horn-east-b", "in");
    assert!(version > old);
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
    for name in names(8) {
        fleet.set_link(&name, LinkState::Up);
    }
    fleet.run_for(SETTLE_TIME).await;
    assert!(fleet.is_in_force(version));
    assert!(fleet.fleet.kernels().all(|kernel| kernel.config().is_in_service("horn-east-b")));
}

#[tokio::test(start_paused = true)]
async fn start_platform_down_and_peer_behind_moves_forward() {
    let mut fleet = ConfigFleet::new(1);
    fleet.start("behind", "horn-east-a");
    let old = fleet.put("horn-east-b", "out");
    fleet.run_until(old, SETTLE_TIME).await.unwrap();
    fleet.set_link("behind", LinkState::Cut);
    fleet.run_for(Duration::from_secs(3)).await;
    let version = fleet.put("horn-east-b", "in");
    let fresh = fleet.start_with("fresh", "horn-east-a", LinkState::Cut);
    fleet.run_for(SETTLE_TIME).await;
    assert!(!fresh.config().is_in_service("horn-east-b"));
    fleet.set_link("fresh", LinkState::Up);
    assert!(fleet.run_until(version, Duration::from_secs(15)).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn record_unreadable_keeps_last_good_one() {
    let mut fleet = settled_fleet(8).await;
    let version = fleet.put("horn-east-b", "out");
    fleet.run_until(version, MAX_PROPAGATION_TIME).await.unwrap();
    let body = serde_json::json!({"schema_version": 1, "name": "horn-east-b", "region": 7});
    let version = fleet.platform.force_put("data_centre", "horn-east-b", body);
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
    for kernel in fleet.fleet.kernels() {
        assert!(!kernel.config().is_in_service("horn-east-b"));
        assert_eq!(kernel.config().refused().count(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn record_too_large_is_refused_everywhere() {
    let mut fleet = settled_fleet(8).await;
    let mut body = testutils::records::data_centre("horn-east-b", "horn-east", "out");
    body["reason"] = "x".repeat(MAX_RECORD_BYTES).into();
    let version = fleet.platform.force_put("data_centre", "horn-east-b", body);
    assert!(fleet.run_until(version, MAX_PROPAGATION_TIME).await.is_some());
    assert!(fleet.fleet.kernels().all(|kernel| kernel.config().refused().count() == 1));
}

#[tokio::test(start_paused = true)]
async fn listing_that_lacks_most_records_is_not_believed() {
    let mut fleet = fleet_of(2);
    for number in 0..20 {
        fleet.put(&format!("dc{number}"), "out");
    }
    fleet.run_for(SETTLE_TIME).await;
    let kernel = Arc::clone(fleet.fleet.kernel("i00").unwrap());
    let empty = testutils::memory_platform::MemoryPlatform::default();
    for _ in 0..100 {
        empty.force_put("lease", "other", serde_json::json!({}));
    }
    assert!(hollyhead::watcher::list_and_publish(&kernel, &empty).await.is_err());
    assert!(!kernel.config().is_in_service("dc7"));
}

fn ip(fleet: &ConfigFleet, name: &str) -> IpAddr {
    fleet.fleet.ip(name).unwrap()
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}
