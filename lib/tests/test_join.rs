//! A newly started instance delivers no packets until it has joined the other instances, as it would
//! send open flows to wrong targets. If it is alone, it places flows after a grace period.

use std::time::Duration;

use hollyhead::gossip::START_GRACE;
use hollyhead::packet::{self, Control};
use testutils::flow_fleet::{
    leaving_target, one_data_centre, service_address, DATA_CENTRE, INSTANCES,
};

const FLOWS: usize = 500;

#[tokio::test(start_paused = true)]
async fn start_packets_before_join_reach_no_target() {
    let mut probe = one_data_centre(31).await;
    probe.open(service_address(), FLOWS).await;
    let changes: Vec<_> = (1..=5).map(|number| leaving_target(number, 100)).collect();
    probe.fleet.apply(&changes);
    probe.run_for(Duration::from_secs(2)).await;
    probe.fleet.start("i", DATA_CENTRE);
    probe.fleet.cut(&["i"], &INSTANCES);
    probe.run_for(START_GRACE / 2).await;
    let before = probe.delivered();
    for flow in probe.flows.clone() {
        let buf = packet::build(&flow.key, Control::default(), b"data").unwrap_or_default();
        probe.fleet.inject("i", &buf);
    }
    probe.run_for(Duration::from_millis(50)).await;
    assert_eq!(probe.delivered(), before);
    assert_eq!(probe.broken(), 0);
}

#[tokio::test(start_paused = true)]
async fn start_listed_alone_places_flows() {
    let mut probe = one_data_centre(32).await;
    for name in INSTANCES {
        probe.fleet.kill(name);
    }
    probe.fleet.start("i", DATA_CENTRE);
    probe.run_for(START_GRACE * 4).await;
    probe.open(service_address(), FLOWS).await;
    assert_eq!(probe.opened(), FLOWS);
}
