//! In-memory fleets with one service and its targets, for tests of the packet forwarder.

use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::platform::Object;
use serde_json::json;

use crate::flow_probe::FlowProbe;
use crate::records;

/// Name of the service that every fleet here has.
pub const SERVICE: &str = "quaydesk";
/// Name of the data centre in a fleet that has only one.
pub const DATA_CENTRE: &str = "horn-east-a";
/// Names of the instances in a fleet that has only one data centre.
pub const INSTANCES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Number of targets in each data centre, numbered from 1.
pub const TARGETS: u8 = 15;

/// Time that a new fleet needs until its instances know each other and hold grants.
const STARTUP_TIME: Duration = Duration::from_secs(3);

/// Returns the address of the service for callers.
pub fn service_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000))
}

/// Returns the tunnel address of a target. `data_centre` is the index of the data centre in the
/// fleet.
pub fn tunnel(data_centre: u8, number: u8) -> SocketAddr {
    SocketAddr::from(([10, 7, data_centre, number], 6_080))
}

/// Capacity of a target in connections, large enough that no flow is refused for lack of capacity.
const CONNECTIONS: u32 = 20_000;

/// Returns the record of the service. Its cold-start limit equals the connection capacity of a
/// target, so that targets have full connection capacity from the start.
pub fn service() -> Object {
    let mut body = records::service(SERVICE, service_address());
    body["cold_start"] = json!({ "slots": 2, "connections": CONNECTIONS, "ramp_ms": 1_000 });
    records::object("service", 1, body)
}

/// Returns the record of a target. `data_centre` is the index and the name of its data centre, and
/// `change` lists fields that replace the default ones.
pub fn target(
    data_centre: (u8, &str),
    number: u8,
    version: u64,
    change: &[(&str, serde_json::Value)],
) -> Object {
    let (index, name) = data_centre;
    let at = tunnel(index, number);
    let mut body = records::target(&format!("{SERVICE}-{name}-{number}"), SERVICE, name, at, at);
    body["connections"] = CONNECTIONS.into();
    for (field, value) in change {
        body[*field] = value.clone();
    }
    records::object("target", version, body)
}

/// Returns the record of a leaving target of [`DATA_CENTRE`], which receives no new flows.
pub fn leaving_target(number: u8, version: u64) -> Object {
    target((0, DATA_CENTRE), number, version, &[("state", "leaving".into())])
}

/// Returns the records of the service and of [`TARGETS`] targets in each data centre.
pub fn objects(data_centres: &[&str]) -> Vec<Object> {
    let mut objects = vec![service()];
    for (index, name) in (0..).zip(data_centres) {
        let targets = (1..=TARGETS).map(|number| target((index, name), number, 1, &[]));
        objects.extend(targets);
    }
    objects
}

/// Returns the record of a data centre.
pub fn data_centre(name: &str, version: u64, state: &str) -> Object {
    records::object("data_centre", version, records::data_centre(name, "horn-east", state))
}

/// Starts a fleet of [`INSTANCES`] in one data centre, and returns its probe.
pub async fn one_data_centre(seed: u64) -> FlowProbe {
    let mut fleet = Fleet::new(seed);
    fleet.apply(&objects(&[DATA_CENTRE]));
    for name in INSTANCES {
        fleet.start(name, DATA_CENTRE);
    }
    fleet.run_for(STARTUP_TIME).await;
    FlowProbe::new(fleet)
}

/// Starts a fleet with `instances` instances in each data centre, and returns its probe. Instances
/// are named `DATA_CENTRE-NUMBER`, with numbers from 1.
pub async fn data_centres(seed: u64, names: &[&str], instances: usize) -> FlowProbe {
    let mut fleet = Fleet::new(seed);
    fleet.apply(&objects(names));
    for name in names {
        for number in 1..=instances {
            fleet.start(&format!("{name}-{number}"), name);
        }
    }
    fleet.run_for(STARTUP_TIME).await;
    FlowProbe::new(fleet)
}
