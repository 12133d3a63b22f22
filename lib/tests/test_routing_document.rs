//! Decoding of routing documents in hollyhead's own format.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use hollyhead::route::{FlowLimits, Route, RoutedService, Routing, ServiceShare};
use hollyhead::routing_document::{decode, RoutingEntry};
use proptest::prelude::*;
use serde_json::{json, Value};

fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "mail", "address": "198.18.0.1:8443", "precedence": 1, "is_idempotent": true,
             "timeout": 800, "aim": 200, "services": [{"service": "mailroom", "weight": 1}]},
        ],
        "services": [{"name": "mailroom", "health_path": "/health", "cold_time": 2000,
                      "cold_flows_per_second": 3}],
        "limits": {"idle_timeout": 15000},
    })
}

#[test]
fn decode_sound_document_keeps_everything() {
    let decoded = decode(&document()).unwrap();
    assert_eq!(decoded.skipped, []);
    assert_eq!(serde_json::to_value(decoded.routing).unwrap(), document());
}

#[test]
fn decode_names_every_fault_of_a_document() {
    let mut spec = document();
    spec["version"] = json!("seven");
    spec["routes"][0]["precedence"] = json!(256);
    spec["routes"].as_array_mut().unwrap().extend([json!({}), document()["routes"][0].clone()]);
    spec["services"] = json!("mailroom");
    spec.as_object_mut().unwrap().remove("limits");
    let err = decode(&spec).unwrap_err();
    let faults: Vec<_> = err.faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        version: invalid type: string "seven", expected u64
        route mail: invalid value: integer `256`, expected u8
        route number 2: missing field `name`
        document: invalid type: string "mailroom", expected a sequence
        limits: missing field `limits`"#]]
    .assert_eq(&faults.join("\n"));
    assert_eq!(err.faults[2].entry, RoutingEntry::Route { index: 1, name: "".into() });
}

fn any_route() -> impl Strategy<Value = Route> {
    (any::<u8>(), any::<u16>(), 0..3_u32, any::<u32>(), any::<u32>()).prop_map(
        |(name, port, weight, timeout, aim)| Route {
            name: format!("route-{name}").into(),
            address: std::net::SocketAddrV4::new([198, 18, 0, 1].into(), port),
            services: vec![ServiceShare { service: "mailroom".into(), weight }],
            precedence: name,
            is_idempotent: port % 2 == 0,
            timeout: std::time::Duration::from_millis(timeout.into()),
            aim: std::time::Duration::from_millis(aim.into()),
        },
    )
}

proptest! {
    #[test]
    fn from_records_returns_the_document(
        version: u64,
        routes in prop::collection::vec(any_route(), 0..9),
    ) {
        let services = decode(&document()).unwrap().routing.services;
        let limits = FlowLimits { idle_timeout: std::time::Duration::from_secs(15) };
        let routing = Routing { version, routes, services, limits };
        let records = routing.clone().into_records();
        let copy = Routing::from_records(records.iter().map(|(_, body)| body));
        prop_assert_eq!(copy, Some(routing));
    }

    #[test]
    fn decode_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(value) = serde_json::from_slice::<Value>(&bytes) {
            let _ = decode(&value);
        }
    }
}

#[test]
fn from_records_without_limits_is_none() {
    let service: RoutedService = decode(&document()).unwrap().routing.services.remove(0);
    let records = [hollyhead::route::RecordBody::Service(service)];
    assert_eq!(Routing::from_records(records.iter()), None);
}
