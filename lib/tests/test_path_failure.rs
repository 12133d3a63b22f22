//! A flow whose path to its target has failed is reset, while the other flows of the target stay
//! open. If the target replies to no flow, none is reset.

use std::time::Duration;

use hollyhead::fleet::EGRESS;
use hollyhead::packet::{self, Control};
use hollyhead::path_failure::PATH_FAILURE_TIMEOUT;
use testutils::flow_fleet::{one_data_centre, service_address};
use testutils::flow_probe::FlowProbe;

/// Number of flows that a test opens, enough that every owner holds several flows of every target.
const FLOWS: usize = 1_500;
/// Number of flows whose replies are lost.
const UNANSWERED: usize = 5;

async fn send_with_lost_replies(probe: &mut FlowProbe, time: Duration) {
    for _ in 0..time.as_secs() {
        probe.answers = false;
        probe.send(0..UNANSWERED, Control::default()).await;
        probe.answers = true;
        probe.send(UNANSWERED..FLOWS, Control::default()).await;
        probe.run_for(Duration::from_millis(960)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn on_packet_unanswered_flow_is_reset_alone() {
    let mut probe = one_data_centre(30).await;
    probe.answers = true;
    probe.open(service_address(), FLOWS).await;
    send_with_lost_replies(&mut probe, PATH_FAILURE_TIMEOUT - Duration::from_secs(2)).await;
    assert_eq!(probe.reset(), 0);
    send_with_lost_replies(&mut probe, Duration::from_secs(6)).await;
    let reset: Vec<_> = (0..FLOWS).filter(|number| probe.flows[*number].is_reset).collect();
    assert_eq!(reset, (0..UNANSWERED).collect::<Vec<_>>());
    probe.open(service_address(), FLOWS).await;
    assert_eq!(probe.opened(), 2 * FLOWS);
    assert_eq!(probe.load().len(), 15);
}

#[tokio::test(start_paused = true)]
async fn on_packet_silent_target_resets_nothing() {
    let mut probe = one_data_centre(31).await;
    probe.answers = true;
    probe.open(service_address(), FLOWS).await;
    probe.answers = false;
    for _ in 0..30 {
        probe.send_all().await;
        probe.run_for(Duration::from_secs(1)).await;
    }
    assert_eq!(probe.reset(), 0);
}

#[tokio::test(start_paused = true)]
async fn on_packet_lost_flow_resets_both_ends() {
    let mut probe = one_data_centre(32).await;
    probe.answers = true;
    probe.open(service_address(), FLOWS).await;
    send_with_lost_replies(&mut probe, PATH_FAILURE_TIMEOUT - Duration::from_secs(1)).await;
    let flow = probe.flows[0].clone();
    let mut reset_recipients = Vec::new();
    for _ in 0..40 {
        let buf = packet::build(&flow.key, Control::default(), b"data").unwrap_or_default();
        probe.send(UNANSWERED..FLOWS, Control::default()).await;
        probe.fleet.inject("a", &buf);
        probe.fleet.run_for(Duration::from_millis(100)).await;
        let resets = probe.fleet.take_outbox().into_iter().filter(|datagram| {
            packet::parse(&datagram.bytes).is_ok_and(|info| info.control.resets)
        });
        reset_recipients.extend(resets.map(|datagram| datagram.to));
    }
    assert!(reset_recipients.contains(&EGRESS));
    assert!(flow.target.is_some_and(|target| reset_recipients.contains(&target)));
}
