//! Positions of entries in the text of a JSON document.

#![allow(clippy::unwrap_used)]

use hollyhead::json_position::{JsonPosition, JsonPositions};
use proptest::prelude::*;
use serde_json::Value;

fn at(line: usize, column: usize, quote: &str) -> Option<JsonPosition> {
    Some(JsonPosition { line, column, quote: quote.into() })
}

#[test]
fn element_has_line_column_and_quote() {
    let text =
        "{\"version\" : 7,\n \"routes\":[ {\"a\": \"}],{\\\"\"},\n   {\"b\":\n [1]} ], \"x\":[]}";
    let positions = JsonPositions::new(text);
    assert_eq!(positions.field("version"), at(1, 14, "7"));
    assert_eq!(positions.element("routes", 0), at(2, 13, r#"{"a": "}],{\""}"#));
    assert_eq!(positions.element("routes", 1), at(3, 4, r#"{"b": [1]}"#));
    assert_eq!(positions.element("routes", 2), None);
    assert_eq!(positions.element("x", 0), None);
    assert_eq!(positions.field("limits"), None);
}

#[test]
fn field_given_twice_has_the_last_position() {
    let positions = JsonPositions::new(r#"{"a": [1, 2], "\u0061": [3]}"#);
    assert_eq!(positions.element("a", 0), at(1, 26, "3"));
    assert_eq!(positions.element("a", 1), None);
}

#[test]
fn quote_of_a_long_entry_is_cut_off() {
    let text = format!("{{\"a\": \"{}\"}}", "ä".repeat(400));
    let quote = JsonPositions::new(&text).field("a").unwrap().quote;
    assert_eq!(quote.chars().count(), 161);
}

proptest! {
    #[test]
    fn any_text_does_not_panic(text in r#"[\[\]{}",:\\ a-c0-9ä\n]{0,60}"#) {
        let positions = JsonPositions::new(&text);
        let _ = (positions.field("a"), positions.element("a", 0));
    }

    #[test]
    fn element_is_the_text_of_the_value(values in prop::collection::vec(".{0,20}", 0..8)) {
        let text = serde_json::to_string_pretty(&serde_json::json!({"k": [0], "list": values})).unwrap();
        let positions = JsonPositions::new(&text);
        for (index, value) in values.iter().enumerate() {
            let JsonPosition { line, column, .. } = positions.element("list", index).unwrap();
            let line = text.split('\n').nth(line - 1).unwrap();
            let written = line[column - 1..].trim_end_matches(',');
            prop_assert_eq!(serde_json::from_str::<Value>(written).unwrap(), Value::from(value.as_str()));
        }
        prop_assert_eq!(positions.element("list", values.len()), None);
    }
}
