//! A write takes effect once even if its response is lost, and it does not undo a concurrent write.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::platform::{Object, Platform};
use hollyhead::random::SeededRandom;
use hollyhead::record::RecordKind;
use hollyhead::schema::SchemaError;
use hollyhead::transaction::{Edit, Outcome, RecordWriter, TransactionError};
use serde_json::{json, Value};
use testutils::memory_platform::MemoryPlatform;

fn edit(base: Option<&Object>, wanted: Value) -> Edit {
    Edit { kind: RecordKind::Service, name: "a".into(), base: base.cloned(), wanted }
}

async fn current(platform: &MemoryPlatform) -> Object {
    platform.get("service", "a").await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn write_lost_answer_takes_effect_once() {
    let platform = MemoryPlatform::default();
    let random = SeededRandom::new(1);
    platform.set_lose_answers(true);
    let wanted = json!({"schema_version": 2, "name": "a"});
    let outcome = RecordWriter::new(&platform, &random).write(edit(None, wanted)).await.unwrap();
    assert_eq!(outcome, Outcome::Written(1));
    assert_eq!(current(&platform).await.version, 1);
}

#[tokio::test(start_paused = true)]
async fn write_different_fields_merge() {
    let platform = MemoryPlatform::default();
    platform.force_put("service", "a", json!({"schema_version": 2, "x": 1, "y": 1}));
    let base = current(&platform).await;
    let (one, two) = (SeededRandom::new(1), SeededRandom::new(2));
    let mine = edit(Some(&base), json!({"schema_version": 2, "x": 2, "y": 1}));
    let theirs = edit(Some(&base), json!({"schema_version": 2, "x": 1, "y": 3}));
    RecordWriter::new(&platform, &one).write(mine).await.unwrap();
    RecordWriter::new(&platform, &two).write(theirs).await.unwrap();
    let body = current(&platform).await.body.unwrap();
    assert_eq!((&body["x"], &body["y"]), (&json!(2), &json!(3)));
}

#[tokio::test(start_paused = true)]
async fn write_same_field_is_a_conflict() {
    let platform = MemoryPlatform::default();
    platform.force_put("service", "a", json!({"schema_version": 2, "x": 1}));
    let base = current(&platform).await;
    platform.force_put("service", "a", json!({"schema_version": 2, "x": 3}));
    let mine = edit(Some(&base), json!({"schema_version": 2, "x": 2}));
    let err = RecordWriter::new(&platform, &SeededRandom::new(1)).write(mine).await.unwrap_err();
    expect_test::expect![[r#"
        service/a was changed by someone else in the same fields:
          x
            was:      1
            yours:    2
            platform: 3
        read it again with `hollyhead get service a` and repeat the change"#]]
    .assert_eq(&err.to_string());
    assert_eq!(current(&platform).await.body.unwrap()["x"], 3);
}

#[tokio::test(start_paused = true)]
async fn write_different_schema_versions_keep_the_newer_one() {
    let platform = MemoryPlatform::default();
    platform.force_put("service", "a", json!({"schema_version": 1, "deadline_ms": 5, "x": 1}));
    let base = current(&platform).await;
    let newer = json!({"schema_version": 2, "request_timeout_ms": 9, "x": 1, "new": true});
    platform.force_put("service", "a", newer);
    let mine = edit(Some(&base), json!({"schema_version": 1, "deadline_ms": 5, "x": 2}));
    RecordWriter::new(&platform, &SeededRandom::new(1)).write(mine).await.unwrap();
    let mut body = current(&platform).await.body.unwrap();
    body.as_object_mut().unwrap().remove("metadata");
    let expected = json!({"schema_version": 2, "request_timeout_ms": 9, "x": 2, "new": true});
    assert_eq!(body, expected);
}

#[tokio::test(start_paused = true)]
async fn write_older_schema_version_is_refused() {
    let platform = MemoryPlatform::default();
    platform.force_put("service", "a", json!({"schema_version": 2, "x": 1}));
    let base = current(&platform).await;
    let mine = edit(Some(&base), json!({"schema_version": 1, "x": 2}));
    let err = RecordWriter::new(&platform, &SeededRandom::new(1)).write(mine).await.unwrap_err();
    let source = SchemaError::Downgrade { current: 2, written: 1 };
    let expected = TransactionError::Schema { kind: "service", name: "a".into(), source };
    assert_eq!(err, expected);
}

#[tokio::test(start_paused = true)]
async fn write_platform_down_is_not_claimed() {
    let platform = MemoryPlatform::default();
    platform.set_down(true);
    let random = SeededRandom::new(1);
    let writer = RecordWriter::new(&platform, &random);
    let write = writer.write(edit(None, json!({"schema_version": 2})));
    let result = tokio::time::timeout(Duration::from_secs(120), write).await.unwrap();
    assert!(matches!(result, Err(TransactionError::Platform(_))));
}
