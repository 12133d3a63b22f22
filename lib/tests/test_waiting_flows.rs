//! The record of waiting flows keeps the first data of a request, in order of age for each target.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::segment::FlowEnds;
use hollyhead::waiting_flows::{WaitingFlow, WaitingFlows};
use tokio::time::Instant;

fn ends(caller: u16) -> FlowEnds {
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    FlowEnds { caller: address(caller), service: address(443) }
}

/// Load: requests to two targets, one of them an upload of several packets.
#[test]
fn of_target_returns_the_longest_wait_first() {
    let now = Instant::now();
    let flow = |target, age_ms| {
        let since = now - Duration::from_millis(age_ms);
        WaitingFlow { target, since, opened_at: since, ack: 9 }
    };
    let mut waiting = WaitingFlows::default();
    waiting.start(ends(1), flow(7, 10));
    waiting.start(ends(2), flow(7, 30));
    waiting.start(ends(3), flow(8, 20));
    waiting.start(ends(2), flow(7, 0));
    let of_target = |waiting: &WaitingFlows, target| -> Vec<_> {
        waiting.of_target(target).map(|(ends, _)| *ends).collect()
    };
    assert_eq!(of_target(&waiting, 7), [ends(2), ends(1)]);
    assert_eq!(waiting.get(&ends(2)), Some(&flow(7, 30)));
    waiting.end(&ends(2));
    waiting.end(&ends(2));
    assert_eq!((of_target(&waiting, 7), waiting.len()), (vec![ends(1)], 2));
}
