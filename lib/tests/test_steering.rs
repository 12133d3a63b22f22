//! Packets of a flow reach only targets of the flow's service, and new flows reach only targets
//! that are not leaving.

use std::net::SocketAddr;
use std::time::Duration;

use etherparse::{SlicedPacket, TransportSlice};
use hollyhead::packet::{self, Control};
use testutils::flow_fleet::{
    leaving_target, one_data_centre, service_address, target, tunnel, DATA_CENTRE,
};
use testutils::flow_probe::{FlowProbe, OPENS};
use testutils::records;

/// Number of flows that a test opens at a time.
const FLOWS: usize = 1_500;
/// Time after which a leaving target must receive no more new flows.
const LEAVING_WITHIN: Duration = Duration::from_secs(5);

async fn probe_with_flows(seed: u64) -> FlowProbe {
    let mut probe = one_data_centre(seed).await;
    probe.open(service_address(), FLOWS).await;
    probe
}

fn flow_count(probe: &FlowProbe, target: SocketAddr) -> usize {
    probe.load().get(&target).copied().unwrap_or_default()
}

#[tokio::test(start_paused = true)]
async fn apply_leaving_target_keeps_flows_and_gets_no_new_ones() {
    let mut probe = probe_with_flows(40).await;
    probe.fleet.apply(&[leaving_target(1, 100)]);
    probe.run_for(LEAVING_WITHIN).await;
    let held = flow_count(&probe, tunnel(0, 1));
    probe.open(service_address(), FLOWS).await;
    let before = probe.deliveries();
    probe.send_all().await;
    assert!(held > 0);
    assert_eq!(flow_count(&probe, tunnel(0, 1)), held);
    assert_eq!(probe.delivered_since(&before).len(), 2 * FLOWS);
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn apply_target_of_other_service_gets_no_packet_of_former_flows() {
    let mut probe = probe_with_flows(41).await;
    let other = SocketAddr::from(([10, 0, 0, 2], 7_000));
    let service = records::object("service", 100, records::service("rosterbook", other));
    let moved = target((0, DATA_CENTRE), 1, 101, &[("service", "rosterbook".into())]);
    let held = flow_count(&probe, tunnel(0, 1));
    probe.fleet.apply(&[service, moved]);
    let before = probe.deliveries();
    probe.send_all().await;
    assert!(held > 0);
    let misdelivered = probe.delivered_since(&before).into_iter().filter(|number| {
        probe.flows[*number].target == Some(tunnel(0, 1)) || probe.flows[*number].is_broken
    });
    assert_eq!(misdelivered.count(), 0);
    assert_eq!(probe.reset(), held);
}

#[test]
fn reset_to_sender_acknowledges_what_the_sender_expects() {
    let flow = hollyhead::flow::FlowKey {
        protocol: hollyhead::flow::Protocol::Tcp,
        caller: SocketAddr::from(([192, 0, 2, 1], 40_000)),
        service: service_address(),
    };
    let opening = packet::build(&flow, OPENS, &[]).unwrap_or_default();
    let reset = packet::reset_to_sender(&opening).unwrap_or_default();
    let sliced = SlicedPacket::from_ip(&reset).ok();
    let Some(TransportSlice::Tcp(tcp)) = sliced.and_then(|sliced| sliced.transport) else {
        panic!("no TCP packet");
    };
    assert!(tcp.rst() && tcp.ack());
    assert_eq!(tcp.acknowledgment_number(), 1);
    assert_eq!(packet::parse(&reset).map(|info| info.key), Ok(flow.reversed()));
    let aborted = Control { opens: false, finishes: false, resets: true };
    let aborted = packet::build(&flow, aborted, &[]).unwrap_or_default();
    assert_eq!(packet::reset_to_sender(&aborted), None);
}
