//! Changes to different fields are merged, and changes of one field to different values conflict.

#![allow(clippy::unwrap_used)]

use hollyhead::merge::{diff, three_way};
use proptest::prelude::*;
use serde_json::{json, Value};

fn record(values: &[u8]) -> Value {
    let fields = values.iter().enumerate().map(|(index, value)| (index.to_string(), json!(value)));
    Value::Object(fields.collect())
}

#[test]
fn three_way_nested_fields_merge() {
    let base = json!({"cold_start": {"slots": 1, "connections": 5}, "hosts": ["a"]});
    let mine = json!({"cold_start": {"slots": 2, "connections": 5}, "hosts": ["a"]});
    let theirs = json!({"cold_start": {"slots": 1, "connections": 9}, "hosts": ["a", "b"]});
    let merged = json!({"cold_start": {"slots": 2, "connections": 9}, "hosts": ["a", "b"]});
    assert_eq!(three_way(&base, &mine, &theirs).unwrap(), merged);
}

#[test]
fn three_way_removed_field_stays_removed() {
    let (base, mine) = (json!({"a": 1, "b": 1}), json!({"b": 1}));
    let theirs = json!({"a": 1, "b": 2});
    assert_eq!(three_way(&base, &mine, &theirs).unwrap(), json!({"b": 2}));
}

#[test]
fn three_way_removed_and_changed_field_is_a_conflict() {
    let (base, mine, theirs) = (json!({"a": 1}), json!({}), json!({"a": 2}));
    let conflicts = three_way(&base, &mine, &theirs).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    assert_eq!((conflicts[0].field.as_str(), &conflicts[0].mine), ("a", &None));
}

#[test]
fn diff_ignores_metadata() {
    let old = json!({"a": 1, "metadata": {"operation": "1"}});
    assert_eq!(diff(Some(&old), &json!({"a": 1})), Vec::<String>::new());
}

proptest! {
    #[test]
    fn three_way_keeps_both_or_names_the_field(
        values in prop::collection::vec((0u8..3, 0u8..3, 0u8..3), 1..8)
    ) {
        let base: Vec<_> = values.iter().map(|(base, _, _)| *base).collect();
        let mine: Vec<_> = values.iter().map(|(_, mine, _)| *mine).collect();
        let theirs: Vec<_> = values.iter().map(|(_, _, theirs)| *theirs).collect();
        let is_conflict = |(b, m, t): &&(u8, u8, u8)| m != b && t != b && m != t;
        let expected: Vec<_> =
            values.iter().map(|(b, m, t)| if m == b { *t } else { *m }).collect();
        match three_way(&record(&base), &record(&mine), &record(&theirs)) {
            Ok(merged) => prop_assert_eq!(merged, record(&expected)),
            Err(conflicts) => {
                prop_assert_eq!(conflicts.len(), values.iter().filter(is_conflict).count());
            }
        }
    }
}
