//! Instances with adjacent versions of the protocol and the schema work together in one fleet, as a
//! rolling upgrade requires.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::config::Config;
use hollyhead::config_message::{ConfigMessage, Summary};
use hollyhead::envelope::Sealer;
use hollyhead::fleet::Fleet;
use hollyhead::message::{Frame, Message};
use hollyhead::metrics::OutcomeLabel;
use hollyhead::record::RecordKind;
use hollyhead::schema;
use serde_json::json;
use testutils::records;
use tokio::time::Instant;

/// Encoded control frame with a message number that this build does not know.
const NEWER_MESSAGE: [u8; 4] = [1, 120, 7, 7];

fn newer_peer() -> (SocketAddr, Sealer) {
    let sealer = Sealer::new("newer".into(), 1, vec![(1, [9; 32])]);
    (SocketAddr::from(([10, 8, 0, 99], 6081)), sealer)
}

#[tokio::test(start_paused = true)]
async fn on_peer_datagram_newer_message_is_counted_and_dropped() {
    let mut fleet = Fleet::new(1);
    let kernel = fleet.start("a", "horn-east-a");
    fleet.start("b", "horn-east-a");
    let (from, sealer) = newer_peer();
    kernel.on_peer_datagram(Instant::now(), from, &sealer.seal(&NEWER_MESSAGE));
    let label = OutcomeLabel { outcome: "malformed" };
    assert_eq!(kernel.metrics.refused_datagrams.get_or_create(&label).get(), 1);
    fleet.run_for(Duration::from_secs(2)).await;
    assert_eq!(kernel.view().members().len(), 2);
}

#[test]
fn decode_message_with_appended_field_is_read() {
    let summary = Summary { complete: 3, total: 5, age_ms: 7 };
    let message = Message::Config(ConfigMessage::Compare(summary));
    let mut bytes = Frame::Control(message.clone()).encode().unwrap();
    bytes.extend([1, 2, 3]);
    assert_eq!(Frame::decode(&bytes).unwrap(), Frame::Control(message));
}

#[test]
fn apply_records_of_all_schema_versions_are_read_and_kept() {
    let bodies = [
        json!({"schema_version": 1, "name": "old", "deadline_ms": 7}),
        json!({"schema_version": 2, "name": "new", "request_timeout_ms": 7}),
        json!({"schema_version": 3, "name": "newer", "request_timeout_ms": 7, "extra": [1]}),
    ];
    let objects: Vec<_> =
        (1..).zip(&bodies).map(|(v, body)| records::object("service", v, body.clone())).collect();
    let (config, errors) = Config::default().apply(&objects);
    assert_eq!(errors, []);
    for service in config.services() {
        assert_eq!(service.deadline, Duration::from_millis(7));
    }
    let leaves = (0..1_024).collect();
    for record in config.records_in(&leaves) {
        let body: serde_json::Value = serde_json::from_str(&record.body.unwrap()).unwrap();
        assert!(bodies.contains(&body));
    }
    assert_eq!(config.service("newer").unwrap().unknown["extra"], json!([1]));
}

#[test]
fn convert_older_operator_reads_newer_record() {
    let newer = json!({"schema_version": 2, "name": "a", "region": "r", "operator": "amina"});
    let older = schema::convert(RecordKind::DataCentre, newer, 1).unwrap();
    assert_eq!(older["schema_version"], 1);
    assert_eq!(older["operator"], "amina");
}
