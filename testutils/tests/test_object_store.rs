//! Tests that the stand-in object store has the semantics that the platform documents: revisions,
//! conflicts, watches, pages, expiry and rate limits. A stand-in that deviates would hide faults in
//! the client.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use testutils::object_store::{ObjectStore, StoreError, StoreLimits, SERVERS};
use tokio::time::Instant;

fn store() -> ObjectStore {
    ObjectStore::new(StoreLimits::default())
}

fn names(page: &Value) -> Vec<&str> {
    page["items"]
        .as_array()
        .unwrap()
        .iter()
        .map(|it| it["meta"]["name"].as_str().unwrap())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn watch_that_waits_returns_at_the_first_change() {
    let store = Arc::new(store());
    let first = store.write("config", "main", json!({ "version": 1 })).unwrap();
    let waiting = tokio::spawn({
        let store = Arc::clone(&store);
        async move { store.watch("config", first, Duration::from_secs(30)).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.write("other", "x", json!({}));
    store.write("config", "main", json!({ "version": 2 }));
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer["events"].as_array().unwrap().len(), 1);
    assert_eq!(answer["events"][0]["object"]["spec"]["version"], 2);
}

#[tokio::test(start_paused = true)]
async fn watch_of_forgotten_history_is_gone() {
    let store = store();
    let first = store.write("config", "main", json!({ "version": 1 })).unwrap();
    store.write("config", "main", json!({ "version": 2 }));
    store.compact();
    let answer = store.watch("config", first, Duration::ZERO).await;
    assert_eq!(answer, Err(StoreError::Gone));
}

#[tokio::test(start_paused = true)]
async fn list_with_many_objects_comes_in_pages() {
    let store = store();
    for index in 0..600 {
        store.write("things", &format!("n{index:04}"), json!({}));
    }
    let first = store.list("things", "").unwrap();
    assert_eq!(first["more"], true);
    let second = store.list("things", names(&first).last().unwrap()).unwrap();
    assert_eq!(names(&first).len() + names(&second).len(), 600);
    assert_eq!(second["more"], false);
}

#[tokio::test(start_paused = true)]
async fn registration_gets_a_new_revision_only_if_more_than_its_sequence_changes() {
    let store = store();
    let later = Instant::now() + Duration::from_secs(4);
    let registration = |sequence: u64, state: &str| json!({ "sequence": sequence, "state": state });
    store.register_server("i-1", registration(1, "ready"), later);
    let before = store.list(SERVERS, "").unwrap()["store-revision"].clone();
    store.register_server("i-1", registration(2, "ready"), later);
    assert_eq!(store.list(SERVERS, "").unwrap()["store-revision"], before);
    store.register_server("i-1", registration(3, "draining"), later);
    assert_ne!(store.list(SERVERS, "").unwrap()["store-revision"], before);
}

#[tokio::test(start_paused = true)]
async fn registration_that_is_not_renewed_expires() {
    let store = store();
    let expires_at = Instant::now() + Duration::from_secs(4);
    store.register_server("i-1", json!({}), expires_at);
    store.remove_expired(expires_at - Duration::from_millis(1));
    assert!(store.server("i-1").is_some());
    store.remove_expired(expires_at);
    assert!(store.server("i-1").is_none());
}

#[tokio::test(start_paused = true)]
async fn put_with_another_revision_conflicts() {
    let store = store();
    let created = store.put("own", "x", json!({ "a": 1 }), 0).unwrap();
    let revision = created["meta"]["revision"].as_u64().unwrap();
    assert!(matches!(store.put("own", "x", json!({}), 0), Err(StoreError::Conflict(_))));
    assert!(store.put("own", "x", json!({ "a": 2 }), revision).is_ok());
}

#[tokio::test(start_paused = true)]
async fn calls_beyond_the_rate_are_refused() {
    let limits = StoreLimits { reads_per_second: 10, ..StoreLimits::default() };
    let store = ObjectStore::new(limits);
    let answers = (0..11).map(|_| store.list("config", "")).collect::<Vec<_>>();
    assert!(answers[..10].iter().all(Result::is_ok));
    assert_eq!(answers[10], Err(StoreError::RateLimited));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(store.list("config", "").is_ok());
}
