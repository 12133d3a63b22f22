//! Instances of a fleet find one another and forward the packets of a flow to the same target.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::packet::{self, Control};
use testutils::records;

const SERVICE: &str = "10.0.0.1:7000";
const OPENS: Control = Control { opens: true, finishes: false, resets: false };

fn tunnel(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 7, 0, number], 6080))
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    let service: SocketAddr = SERVICE.parse().unwrap();
    let mut objects = vec![records::object("service", 1, records::service("quaydesk", service))];
    for number in 1..=3 {
        let name = format!("quaydesk-{number}");
        let body =
            records::target(&name, "quaydesk", "horn-east-a", tunnel(number), tunnel(number));
        objects.push(records::object("target", 1 + u64::from(number), body));
    }
    fleet.apply(&objects);
    for name in ["a", "b", "c"] {
        fleet.start(name, "horn-east-a");
    }
    fleet
}

#[tokio::test(start_paused = true)]
async fn inject_any_instance_reaches_same_target() {
    let mut fleet = fleet();
    fleet.run_for(Duration::from_secs(2)).await;
    let key = FlowKey {
        protocol: Protocol::Tcp,
        caller: "192.0.2.1:40000".parse().unwrap(),
        service: SERVICE.parse().unwrap(),
    };
    fleet.inject("a", &packet::build(&key, OPENS, &[]).unwrap());
    fleet.run_for(Duration::from_millis(10)).await;
    for name in ["a", "b", "c"] {
        fleet.inject(name, &packet::build(&key, Control::default(), b"data").unwrap());
    }
    fleet.run_for(Duration::from_millis(10)).await;
    let packets = fleet.take_outbox();
    let targets: BTreeSet<_> = packets.iter().map(|datagram| datagram.to).collect();
    assert_eq!(packets.len(), 4);
    assert_eq!(targets.len(), 1);
}
