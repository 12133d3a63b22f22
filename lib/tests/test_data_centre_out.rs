//! Flows while operators take a data centre out and bring it back, and while one is cut off.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hollyhead::owner::allocator_of;
use testutils::flow_fleet::{data_centre, data_centres, service_address, SERVICE};
use testutils::flow_probe::FlowProbe;
use tokio::time::Instant;

const NAMES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
/// Instances of each data centre.
const INSTANCES: usize = 3;
/// Flows that each test opens.
const FLOWS: usize = 3_000;
/// Times that callers send a packet of which they hear nothing.
const RETRANSMISSIONS: usize = 4;
/// Time in which a data centre that is taken out must have stopped getting packets.
const OUT_WITHIN: Duration = Duration::from_secs(5);

async fn opened(seed: u64) -> FlowProbe {
    let mut probe = data_centres(seed, &NAMES, INSTANCES).await;
    probe.open(service_address(), FLOWS).await;
    probe.send_all().await;
    probe
}

async fn send(probe: &mut FlowProbe) {
    for _ in 0..RETRANSMISSIONS {
        probe.send_all().await;
        probe.run_for(Duration::from_millis(500)).await;
    }
}

/// Tells whether a target is in the first data centre.
fn is_first(target: SocketAddr) -> bool {
    matches!(target.ip(), IpAddr::V4(ip) if ip.octets()[2] == 0)
}

fn numbers_of_first(probe: &FlowProbe) -> Vec<usize> {
    let flows = probe.flows.iter().enumerate();
    flows.filter(|(_, flow)| flow.target.is_some_and(is_first)).map(|(number, _)| number).collect()
}

fn delivered_of(probe: &FlowProbe, numbers: &[usize]) -> u32 {
    numbers.iter().map(|number| probe.flows[*number].delivered).sum()
}

#[tokio::test(start_paused = true)]
async fn apply_out_resets_flows_of_data_centre_only() {
    let mut probe = opened(20).await;
    let first = numbers_of_first(&probe);
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    let before = delivered_of(&probe, &first);
    send(&mut probe).await;
    assert!(first.len() > FLOWS / 5);
    assert_eq!(delivered_of(&probe, &first), before);
    assert!(first.iter().all(|number| probe.flows[*number].is_reset));
    assert_eq!(probe.reset(), first.len());
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn apply_out_at_allocator_only_stops_packets() {
    let mut probe = opened(21).await;
    let first = numbers_of_first(&probe);
    let view = probe.fleet.kernels().next().map(|kernel| kernel.view()).unwrap_or_default();
    let allocator = allocator_of(&view, SERVICE, NAMES[0]).unwrap_or_default();
    probe.fleet.apply_to(&allocator, &[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(OUT_WITHIN).await;
    let before = delivered_of(&probe, &first);
    send(&mut probe).await;
    assert_eq!(delivered_of(&probe, &first), before);
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn apply_out_at_owner_only_stops_its_packets() {
    let mut probe = opened(22).await;
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
    assert!(sent
        .iter()
        .all(|datagram| Some(datagram.from.ip()) != sender || !is_first(datagram.to)));
}

#[tokio::test(start_paused = true)]
async fn apply_in_again_keeps_flows_and_ramps_new_ones() {
    let mut probe = opened(23).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    send(&mut probe).await;
    probe.open(service_address(), FLOWS).await;
    send(&mut probe).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 51, "in")]);
    probe.run_for(Duration::from_millis(100)).await;
    let opened_at = probe.flows.len();
    probe.open(service_address(), FLOWS).await;
    let early = numbers_of_first(&probe).into_iter().filter(|number| *number >= opened_at).count();
    probe.run_for(Duration::from_secs(12)).await;
    let before = probe.deliveries();
    send(&mut probe).await;
    let alive = probe.opened() - probe.reset();
    let reopened_at = probe.flows.len();
    probe.open(service_address(), FLOWS).await;
    let late = numbers_of_first(&probe).into_iter().filter(|number| *number >= reopened_at).count();
    let heard = probe.delivered_since(&before).len();
    assert!(early * 10 < FLOWS / 3, "{early}");
    assert!(late > FLOWS / 5, "{late}");
    assert_eq!(probe.broken(), 0);
    assert_eq!(heard, alive);
    assert!(alive + probe.reset() >= 3 * FLOWS * 99 / 100);
}

#[tokio::test(start_paused = true)]
async fn leave_elsewhere_while_out_breaks_no_flow() {
    let mut probe = opened(24).await;
    probe.fleet.apply(&[data_centre(NAMES[0], 50, "out")]);
    probe.run_for(Duration::from_secs(1)).await;
    send(&mut probe).await;
    let given_up = probe.reset();
    probe.open(service_address(), FLOWS).await;
    send(&mut probe).await;
    let name = format!("{}-1", NAMES[1]);
    if let Some(kernel) = probe.fleet.kernel(&name) {
        kernel.leave(Instant::now());
    }
    probe.run_for(Duration::from_secs(3)).await;
    probe.fleet.kill(&name);
    probe.run_for(Duration::from_secs(4)).await;
    let before = probe.deliveries();
    send(&mut probe).await;
    assert_eq!(probe.broken(), 0);
    assert_eq!(probe.reset(), given_up);
    assert_eq!(probe.delivered_since(&before).len(), 2 * FLOWS - given_up);
}

#[tokio::test(start_paused = true)]
async fn cut_off_data_centre_serves_its_own_and_breaks_no_flow() {
    let mut probe = opened(25).await;
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
    send(&mut probe).await;
    let own = numbers_of_first(&probe);
    let served = probe.delivered_since(&before);
    assert!(own.iter().filter(|number| served.contains(number)).count() * 2 > own.len());
    probe.open(service_address(), FLOWS).await;
    send(&mut probe).await;
    assert_eq!(probe.opened(), 2 * FLOWS);
    probe.fleet.network().heal();
    probe.run_for(Duration::from_secs(4)).await;
    let before = probe.deliveries();
    send(&mut probe).await;
    assert_eq!(probe.reset(), 0);
    assert_eq!(probe.flows[..FLOWS].iter().filter(|flow| flow.is_broken).count(), 0);
    assert_eq!(probe.delivered_since(&before).len(), 2 * FLOWS);
}
