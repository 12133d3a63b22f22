//! An older version of a record never replaces a newer one, also after a deletion, and a refused
//! version leaves the last valid one in force.

#![allow(clippy::unwrap_used)]

use hollyhead::config::Config;
use hollyhead::platform::{Listing, Object};
use hollyhead::record::RecordKind;
use proptest::prelude::*;
use serde_json::json;
use testutils::records;

fn data_centre(version: u64, state: &str) -> Object {
    records::object("data_centre", version, records::data_centre("a", "r", state))
}

fn deletion(version: u64) -> Object {
    Object { kind: "data_centre".into(), name: "a".into(), version, body: None }
}

#[test]
fn apply_older_version_changes_nothing() {
    let (config, _) = Config::default().apply(&[data_centre(2, "out")]);
    let (after, errors) = config.apply(&[data_centre(1, "in"), data_centre(2, "in")]);
    assert!(errors.is_empty());
    assert_eq!(after, config);
}

#[test]
fn apply_deleted_record_stays_deleted() {
    let (config, _) = Config::default().apply(&[data_centre(1, "out"), deletion(2)]);
    let (config, _) = config.apply(&[data_centre(1, "out")]);
    assert!(config.is_in_service("a"));
    let (config, _) = config.apply(&[data_centre(3, "out")]);
    assert!(!config.is_in_service("a"));
}

#[test]
fn apply_unreadable_record_keeps_last_good_one() {
    let (config, _) = Config::default().apply(&[data_centre(1, "out")]);
    let bad = records::object("data_centre", 2, json!({"schema_version": 1, "name": "a"}));
    let (config, errors) = config.apply(&[bad]);
    assert_eq!(errors[0].reason, "missing field `region`");
    assert!(!config.is_in_service("a"));
    let (config, _) = config.apply(&[data_centre(3, "in")]);
    assert!(config.is_in_service("a"));
    assert_eq!(config.refused().count(), 0);
}

#[test]
fn deletions_absent_from_newer_listing() {
    let (config, _) = Config::default().apply(&[data_centre(5, "out")]);
    let listing = |version| Listing { version, objects: Vec::new() };
    assert_eq!(config.deletions(RecordKind::DataCentre, &listing(4)), []);
    assert_eq!(config.deletions(RecordKind::DataCentre, &listing(7)), [deletion(7)]);
}

proptest! {
    #[test]
    fn digest_same_records_in_any_order(mut versions in prop::collection::vec(1u64..400, 1..300)) {
        let object = |version: &u64| {
            let name = format!("dc{}", version % 150);
            records::object("data_centre", *version, records::data_centre(&name, "r", "in"))
        };
        let objects: Vec<_> = versions.iter().map(object).collect();
        let (at_once, _) = Config::default().apply(&objects);
        versions.reverse();
        let mut one_by_one = Config::default();
        for version in &versions {
            one_by_one = one_by_one.apply(&[object(version)]).0;
        }
        prop_assert_eq!(at_once.digest(), one_by_one.digest());
        prop_assert!(at_once.data_centres().eq(one_by_one.data_centres()));
    }
}
