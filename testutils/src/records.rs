//! Record bodies, and the platform objects that contain them, for tests.

use std::net::SocketAddr;

use hollyhead::platform::Object;
use serde_json::{json, Value};

/// Returns the body of a service record in schema version 1, with one TCP address and with its name
/// as host name.
pub fn service(name: &str, address: SocketAddr) -> Value {
    json!({
        "schema_version": 1,
        "name": name,
        "addresses": [{ "protocol": "tcp", "address": address }],
        "hosts": [name],
        "deadline_ms": 5_000,
    })
}

/// Returns the body of a target record in schema version 1. The UDP address is `tunnel`, and the HTTP
/// address is `address`.
pub fn target(
    name: &str,
    service: &str,
    data_centre: &str,
    tunnel: SocketAddr,
    address: SocketAddr,
) -> Value {
    json!({
        "schema_version": 1,
        "name": name,
        "service": service,
        "data_centre": data_centre,
        "tunnel": tunnel,
        "address": address,
        "slots": 2,
        "connections": 2_000,
    })
}

/// Returns the body of a data centre record in schema version 1; `state` is `in` or `out`.
pub fn data_centre(name: &str, region: &str, state: &str) -> Value {
    json!({ "schema_version": 1, "name": name, "region": region, "state": state })
}

/// Returns a platform object with the body, and with the name that the body contains.
pub fn object(kind: &str, version: u64, body: Value) -> Object {
    let name = body["name"].as_str().unwrap_or_default().into();
    Object { kind: kind.into(), name, version, body: Some(body) }
}
