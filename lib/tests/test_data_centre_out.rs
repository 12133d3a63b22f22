//! Tests of open and new flows while an operator takes a data centre out of service and restores it,
//! and while a data centre is partitioned from the others.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hollyhead::owner::allocator_of;
use testutils::flow_fleet::{data_centre, data_centres, service_address, SERVICE};
use testutils::flow_probe::FlowProbe;
use tokio::time::Instant;

const NAMES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
/// Number of instances in each data centre.
const INSTANCES: usize = 3;
/// Number of flows that a test opens at a time.
const FLOWS: usize = 3_000;
/// Number of times that callers send a packet that is not answered.
const RETRANSMISSIONS: usize = 4;
/// Time after which no packet may reach a data centre that was taken out of service.
const OUTAGE_DEADLINE: Duration = Duration::from_secs(5);

async fn probe_with_open_flows(seed: u64) -> FlowProbe {
    let mut probe = data_centres(seed, &NAMES, INSTANCES).await;
    probe.open(service_address(), FLOWS).await;
    probe.send_all().await;
    probe
}

async fn send_with_retransmissions(probe: &mut FlowProbe) {
    for _ in 0..RETRANSMISSIONS {
        probe.send_all().await;
        probe.run_for(Duration::from_millis(500)).await;
    }
}

/// Returns whether a target is in the first data centre.
fn is_in_first_data_centre(target: SocketAddr) -> bool {
    matches!(target.ip(), IpAddr::V4(ip) if ip.octets()[2] == 0)
}

fn flows_in_first_data_centre(probe: &FlowProbe) -> Vec<usize> {
    let flows = probe.flows.iter().enumerate();
    flows
        .filter(|(_, flow)| flow.target.is_some_and(is_in_first_data_centre))
        .map(|(number, _)| number)
        .collect()
}

fn delivered_packets(probe: &FlowProbe, numbers: &[usize]) -> u32 {
    numbers.iter().map(|number| probe.flows[*number].delivered).sum()
}

#[tokio::test(start_paused = true)]
async fn apply_out_resets_flows_of_data_centre_only() {
    let mut probe = probe_with_open_flows(20).await;
    let first = flows_in_first_data_centre(&probe);
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    let before = delivered_packets(&probe, &first);
    send_with_retransmissions(&mut probe).await;
    assert!(first.len() > FLOWS / 5);
    assert_eq!(delivered_packets(&probe, &first), before);
    assert!(first.iter().all(|number| probe.flows[*number].is_reset));
    assert_eq!(probe.reset(), first.len());
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn apply_out_at_allocator_only_stops_packets() {
    let mut probe = probe_with_open_flows(21).await;
    let first = flows_in_first_data_centre(&probe);
    let view = probe.fleet.kernels().next().map(|kernel| kernel.view()).unwrap_or_default();
    let allocator = allocator_of(&view, SERVICE, NAMES[0]).unwrap_or_default();
    probe.fleet.apply_to(&allocator, &[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(OUTAGE_DEADLINE).await;
    let before = delivered_packets(&probe, &first);
    send_with_retransmissions(&mut probe).await;
    assert_eq!(delivered_packets(&probe, &first), before);
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn apply_out_at_owner_only_stops_its_packets() {
    let mut probe = probe_with_open_flows(22).await;
    let name = format!("{}-1", NAMES[0]);
    let sender = probe.fleet.ip(&name);
    probe.fleet.apply_to(&name, &[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    for flow in 0..FLOWS {
        let buf = hollyhead::packet::build(
            &probe.flows[flow].key,
            hollyhead::packet::Control::default(),
            b"data",
        );
        probe.fleet.inject(&name, &buf.unwrap_or_default());
    }
    probe.fleet.run_for(Duration::from_millis(50)).await;
    let sent = probe.fleet.take_outbox();
    assert!(sent.iter().all(
        |datagram| Some(datagram.from.ip()) != sender || !is_in_first_data_centre(datagram.to)
    ));
}

#[tokio::test(start_paused = true)]
async fn apply_in_again_keeps_flows_and_ramps_new_ones() {
    let mut probe = probe_with_open_flows(23).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    send_with_retransmissions(&mut probe).await;
    probe.open(service_address(), FLOWS).await;
    send_with_retransmissions(&mut probe).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 51, "in")]);
    probe.run_for(Duration::from_millis(100)).await;
    let ramp_start_index = probe.flows.len();
    probe.open(service_address(), FLOWS).await;
    let early = flows_in_first_data_centre(&probe)
        .into_iter()
        .filter(|number| *number >= ramp_start_index)
        .count();
    probe.run_for(Duration::from_secs(12)).await;
    let before = probe.deliveries();
    send_with_retransmissions(&mut probe).await;
    let open_flows = probe.opened() - probe.reset();
    let after_ramp_index = probe.flows.len();
    probe.open(service_address(), FLOWS).await;
    let late = flows_in_first_data_centre(&probe)
        .into_iter()
        .filter(|number| *number >= after_ramp_index)
        .count();
    let reached = probe.delivered_since(&before).len();
    assert!(
        early * 10 < FLOWS / 3,
        "{early} new flows went to the data centre at the start of its ramp"
    );
    assert!(late > FLOWS / 5, "{late} new flows went to the data centre after its ramp");
    assert_eq!(probe.broken(), 0);
    assert_eq!(reached, open_flows);
    assert!(open_flows + probe.reset() >= 3 * FLOWS * 99 / 100);
}

#[tokio::test(start_paused = true)]
async fn leave_elsewhere_while_out_breaks_no_flow() {
    let mut probe = probe_with_open_flows(24).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    send_with_retransmissions(&mut probe).await;
    let reset_before = probe.reset();
    probe.open(service_address(), FLOWS).await;
    send_with_retransmissions(&mut probe).await;
    let name = format!("{}-1", NAMES[1]);
    if let Some(kernel) = probe.fleet.kernel(&name) {
        kernel.leave(Instant::now());
    }
    probe.run_for(Duration::from_secs(3)).await;
    probe.fleet.kill(&name);
    probe.run_for(Duration::from_secs(4)).await;
    let before = probe.deliveries();
    send_with_retransmissions(&mut probe).await;
    assert_eq!(probe.broken(), 0);
    assert_eq!(probe.reset(), reset_before);
    assert_eq!(probe.delivered_since(&before).len(), 2 * FLOWS - reset_before);
}

#[tokio::test(start_paused = true)]
async fn cut_off_data_centre_serves_its_own_and_breaks_no_flow() {
    let mut probe = probe_with_open_flows(25).await;
    let members = |name: &str| -> Vec<String> {
        (1..=INSTANCES).map(|number| format!("{name}-{number}")).collect()
    };
    let first = members(NAMES[0]);
    let others: Vec<_> = NAMES[1..].iter().flat_map(|name| members(name)).collect();
    let first: Vec<_> = first.iter().map(String::as_str).collect();
    let others: Vec<_> = others.iter().map(String::as_str).collect();
    probe.fleet.cut(&first, &others);
    probe.run_for(Duration::from_secs(4)).await;
    let before = probe.deliveries();
    send_with_retransmissions(&mut probe).await;
    let local_flows = flows_in_first_data_centre(&probe);
    let served = probe.delivered_since(&before);
    assert!(
        local_flows.iter().filter(|number| served.contains(number)).count() * 2 > local_flows.len()
    );
    probe.open(service_address(), FLOWS).await;
    send_with_retransmissions(&mut probe).await;
    assert_eq!(probe.opened(), 2 * FLOWS);
    probe.fleet.network().heal();
    probe.run_for(Duration::from_secs(4)).await;
    let before = probe.deliveries();
    send_with_retransmissions(&mut probe).await;
    assert_eq!(probe.reset(), 0);
    assert_eq!(probe.flows[..FLOWS].iter().filter(|flow| flow.is_broken).count(), 0);
    assert_eq!(probe.delivered_since(&before).len(), 2 * FLOWS);
}
