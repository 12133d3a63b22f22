//! Packets and flows without a response are counted by data centre and service.

use std::net::{Ipv4Addr, SocketAddrV4};

use hollyhead::outage_losses::{OutageLoss, OutageLosses, REPORT_INTERVAL};
use hollyhead::segment::FlowEnds;
use tokio::time::Instant;

/// Load: callers of a data centre that is out of service send their packets again.
#[test]
fn take_report_counts_each_flow_once_per_outage() {
    let now = Instant::now();
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let ends = |caller| FlowEnds { caller: address(caller), service: address(443) };
    let mut losses = OutageLosses::default();
    let record = |losses: &mut OutageLosses| {
        for caller in [1, 2, 1] {
            losses.record(&"a".into(), &"mailroom".into(), ends(caller));
        }
    };
    let loss = |packets, flows| OutageLoss {
        data_centre: "a".into(),
        service: "mailroom".into(),
        packets,
        flows,
    };
    record(&mut losses);
    assert_eq!(losses.take_report(now), [loss(3, 2)]);
    record(&mut losses);
    assert!(losses.take_report(now).is_empty());
    assert_eq!(losses.take_report(now + REPORT_INTERVAL), [loss(3, 0)]);
    losses.retain_flows(|data_centre| data_centre == "a");
    record(&mut losses);
    assert_eq!(losses.take_report(now + 2 * REPORT_INTERVAL), [loss(3, 0)]);
    losses.retain_flows(|data_centre| data_centre == "b");
    record(&mut losses);
    assert_eq!(losses.take_report(now + 3 * REPORT_INTERVAL), [loss(3, 2)]);
}
