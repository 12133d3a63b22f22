//! Flows keep their targets while instances crash, freeze, restart or lose contact with each other.

use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::memory_network::LinkQuality;
use testutils::flow_fleet::{
    leaving_target, one_data_centre, service_address, tunnel, DATA_CENTRE, INSTANCES, TARGETS,
};
use testutils::flow_probe::FlowProbe;

/// Number of flows that a test opens at a time.
const FLOWS: usize = 4_000;
/// Number of times that a caller sends a packet without a reply.
const RETRANSMISSIONS: usize = 4;
/// Exclusive upper bound on the broken flows, in per cent of the flows that a fault affects.
const MAX_BROKEN_PERCENT: usize = 1;
/// Largest number of flows on one target, in per cent of the mean over all targets.
const MAX_IMBALANCE_PERCENT: usize = 115;

async fn probe_with_flows(seed: u64) -> FlowProbe {
    let mut probe = one_data_centre(seed).await;
    probe.open(service_address(), FLOWS).await;
    probe.send_all().await;
    probe
}

/// Sends a packet of every flow once a second, as callers retransmit without a reply, and returns
/// the number of flows of which a packet reached a target.
async fn retransmit(probe: &mut FlowProbe) -> usize {
    let before = probe.deliveries();
    for _ in 0..RETRANSMISSIONS {
        probe.send_all().await;
        probe.run_for(Duration::from_secs(1)).await;
    }
    probe.delivered_since(&before).len()
}

async fn drain_five_targets(probe: &mut FlowProbe) {
    let changes: Vec<_> = (1..=5).map(|number| leaving_target(number, 100)).collect();
    probe.fleet.apply(&changes);
    probe.open(service_address(), FLOWS).await;
    for _ in 0..RETRANSMISSIONS {
        probe.send_all().await;
    }
    probe.run_for(Duration::from_secs(10)).await;
}

fn drained_targets() -> Vec<SocketAddr> {
    (1..=5).map(|number| tunnel(0, number)).collect()
}

#[tokio::test(start_paused = true)]
async fn open_spreads_flows_evenly() {
    let mut probe = one_data_centre(10).await;
    probe.open(service_address(), 15_000).await;
    let load = probe.load();
    let most = load.values().max().copied().unwrap_or_default();
    assert_eq!(load.len(), usize::from(TARGETS));
    assert!(most * usize::from(TARGETS) * 100 <= 15_000 * MAX_IMBALANCE_PERCENT, "{load:?}");
}

#[tokio::test(start_paused = true)]
async fn kill_owner_breaks_almost_no_flow() {
    let mut probe = probe_with_flows(11).await;
    drain_five_targets(&mut probe).await;
    let held =
        probe.fleet.kernel(INSTANCES[2]).map_or(0, |kernel| kernel.steering.bindings().len());
    probe.fleet.kill(INSTANCES[2]);
    probe.run_for(Duration::from_secs(4)).await;
    let reached = retransmit(&mut probe).await;
    assert!(held > FLOWS / 10);
    assert!(probe.broken() * 100 < held * MAX_BROKEN_PERCENT, "{}", probe.broken());
    assert_eq!(reached, 2 * FLOWS);
}

#[tokio::test(start_paused = true)]
async fn kill_owner_and_backup_breaks_only_overrides() {
    let mut probe = probe_with_flows(12).await;
    let drained = drained_targets();
    drain_five_targets(&mut probe).await;
    probe.fleet.kill(INSTANCES[2]);
    probe.fleet.kill(INSTANCES[5]);
    probe.run_for(Duration::from_secs(4)).await;
    let reached = retransmit(&mut probe).await;
    let on_drained = |target: SocketAddr| drained.contains(&target);
    let broken_on_drained = probe.flows.iter().filter(|flow| flow.is_broken);
    assert_eq!(broken_on_drained.filter(|flow| flow.target.is_some_and(on_drained)).count(), 0);
    // Two of eight owners are the owner and the backup of 1/28 of the buckets. A third of the flows
    // that were opened last are placement overrides, of which only the owner and the backup know.
    assert!(probe.broken() * 28 * 3 < FLOWS * 3 / 2, "{}", probe.broken());
    assert_eq!(reached, 2 * FLOWS);
}

#[tokio::test(start_paused = true)]
async fn freeze_and_thaw_breaks_no_flow() {
    for (seed, seconds) in [(13, 5), (14, 30)] {
        let mut probe = probe_with_flows(seed).await;
        drain_five_targets(&mut probe).await;
        probe.fleet.freeze(INSTANCES[3]);
        probe.run_for(Duration::from_secs(4)).await;
        probe.open(service_address(), 1_000).await;
        for _ in 0..RETRANSMISSIONS {
            probe.send_all().await;
        }
        probe.run_for(Duration::from_secs(seconds - 4)).await;
        probe.send_all().await;
        probe.fleet.thaw(INSTANCES[3]);
        probe.send_all().await;
        probe.run_for(Duration::from_millis(100)).await;
        let reached = retransmit(&mut probe).await;
        assert_eq!(probe.broken(), 0);
        assert_eq!(reached, probe.opened());
    }
}

#[tokio::test(start_paused = true)]
async fn cut_two_views_break_no_default_flow() {
    let mut probe = probe_with_flows(15).await;
    probe.fleet.cut(&INSTANCES[..3], &INSTANCES[3..]);
    for _ in 0..6 {
        probe.run_for(Duration::from_secs(1)).await;
        probe.send_all().await;
    }
    probe.fleet.network().heal();
    probe.run_for(Duration::from_secs(4)).await;
    let reached = retransmit(&mut probe).await;
    assert_eq!(probe.broken(), 0);
    assert_eq!(reached, FLOWS);
}

#[tokio::test(start_paused = true)]
async fn set_quality_lossy_network_breaks_no_flow() {
    let mut probe = probe_with_flows(16).await;
    probe.fleet.network().set_quality(LinkQuality {
        latency: Duration::from_micros(500),
        jitter: Duration::from_millis(10),
        loss_per_mille: 50,
        duplicates_per_mille: 50,
    });
    drain_five_targets(&mut probe).await;
    probe.fleet.start("i", DATA_CENTRE);
    probe.run_for(Duration::from_secs(3)).await;
    if let Some(kernel) = probe.fleet.kernel(INSTANCES[0]) {
        kernel.leave(tokio::time::Instant::now());
    }
    probe.run_for(Duration::from_secs(3)).await;
    probe.fleet.kill(INSTANCES[0]);
    probe.run_for(Duration::from_secs(4)).await;
    retransmit(&mut probe).await;
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn restart_of_everything_keeps_default_flows() {
    let mut probe = probe_with_flows(17).await;
    for name in INSTANCES {
        probe.fleet.kill(name);
    }
    for name in INSTANCES {
        probe.fleet.start(name, DATA_CENTRE);
    }
    probe.run_for(Duration::from_secs(4)).await;
    let reached = retransmit(&mut probe).await;
    assert_eq!(probe.broken(), 0);
    assert_eq!(reached, FLOWS);
}

#[tokio::test(start_paused = true)]
async fn kill_and_restart_each_in_turn_breaks_almost_no_flow() {
    let mut probe = probe_with_flows(18).await;
    drain_five_targets(&mut probe).await;
    for name in INSTANCES {
        probe.fleet.kill(name);
        probe.run_for(Duration::from_secs(4)).await;
        probe.fleet.start(name, DATA_CENTRE);
        probe.run_for(Duration::from_secs(15)).await;
    }
    let reached = retransmit(&mut probe).await;
    assert!(probe.broken() * 100 < FLOWS * MAX_BROKEN_PERCENT, "{}", probe.broken());
    assert_eq!(reached, 2 * FLOWS);
}

#[tokio::test(start_paused = true)]
async fn restart_of_everything_while_targets_drain_keeps_flows() {
    let mut probe = probe_with_flows(19).await;
    let changes: Vec<_> = (1..=5).map(|number| leaving_target(number, 100)).collect();
    probe.fleet.apply(&changes);
    for name in INSTANCES {
        probe.fleet.kill(name);
    }
    for name in INSTANCES {
        probe.fleet.start(name, DATA_CENTRE);
    }
    probe.run_for(Duration::from_secs(4)).await;
    let reached = retransmit(&mut probe).await;
    assert_eq!(probe.broken(), 0);
    assert_eq!(reached, FLOWS);
}
