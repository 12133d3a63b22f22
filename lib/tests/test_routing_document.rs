//! Decoding of routing documents in hollyhead's own format.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use hollyhead::route::{RecordBody, Routing};
use hollyhead::routing_document::{decode, RoutingEntry};
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

#[test]
fn from_records_is_the_inverse_of_into_records() {
    let routing = decode(&document()).unwrap().routing;
    let mut records = routing.clone().into_records();
    assert_eq!(Routing::from_records(records.iter().map(|(_, body)| body)), Some(routing));
    records.retain(|(_, body)| !matches!(body, RecordBody::Limits(_)));
    assert_eq!(Routing::from_records(records.iter().map(|(_, body)| body)), None);
}
