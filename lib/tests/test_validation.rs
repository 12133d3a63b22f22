//! Validation reports all errors of a set of declarations at once.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use hollyhead::config::Config;
use hollyhead::record::RecordKind;
use hollyhead::validation::{check, Declaration};
use serde_json::Value;
use testutils::records;

fn declaration(kind: RecordKind, body: Value) -> Declaration {
    let name = body["name"].as_str().unwrap().into();
    Declaration { file: Some("fleet.json".into()), kind, name, body }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn target(name: &str, service: &str, number: u8) -> Value {
    records::target(name, service, "horn-east-a", address(number), address(number))
}

fn valid_declarations() -> Vec<Declaration> {
    vec![
        declaration(RecordKind::DataCentre, records::data_centre("horn-east-a", "horn-east", "in")),
        declaration(RecordKind::Service, records::service("quaydesk", address(1))),
        declaration(RecordKind::Target, target("quaydesk-1", "quaydesk", 2)),
    ]
}

#[test]
fn check_whole_declaration_has_no_faults() {
    assert_eq!(check(&Config::default(), &valid_declarations()), []);
}

#[test]
fn check_all_faults_at_once() {
    let mut all = valid_declarations();
    let mut zero_slots = target("quaydesk-2", "quaydesk", 2);
    zero_slots["slots"] = 0.into();
    let mut unknown_references = target("stray", "rosterdesk", 4);
    unknown_references["data_centre"] = "gnr-gift".into();
    let mut invalid_tunnel = target("worn", "quaydesk", 5);
    invalid_tunnel["tunnel"] = "nowhere".into();
    all.push(declaration(RecordKind::Service, records::service("rosterbook", address(1))));
    all.extend(
        [zero_slots, unknown_references, invalid_tunnel]
            .map(|body| declaration(RecordKind::Target, body)),
    );
    let errors = check(&Config::default(), &all);
    let text: Vec<_> = errors.iter().map(ToString::to_string).collect();
    expect_test::expect![[r#"
        fleet.json: service/quaydesk: addresses: 10.0.0.1:7000 is used by rosterbook too; choose another one
        fleet.json: target/quaydesk-1: tunnel: 10.0.0.2:7000 is used by quaydesk-2 too; choose another one
        fleet.json: service/rosterbook: addresses: 10.0.0.1:7000 is used by quaydesk too; choose another one
        fleet.json: service/rosterbook: has no targets; declare at least one in the same apply
        fleet.json: target/quaydesk-2: tunnel: 10.0.0.2:7000 is used by quaydesk-1 too; choose another one
        fleet.json: target/quaydesk-2: slots: is 0; give at least 1, or set state to leaving
        fleet.json: target/stray: service: there is no service rosterdesk; declare it or correct it
        fleet.json: target/stray: data_centre: there is no data centre gnr-gift; declare it
        fleet.json: target/worn: field tunnel: invalid socket address syntax; correct the record"#]].assert_eq(&text.join("\n"));
}
