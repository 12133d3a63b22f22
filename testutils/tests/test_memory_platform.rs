//! Tests that [`MemoryPlatform`] has the semantics that the `Platform` trait documents: conditional
//! writes, writes without a response, and watches.

use std::time::Duration;

use hollyhead::platform::{Platform, PlatformError, Precondition};
use serde_json::json;
use testutils::memory_platform::MemoryPlatform;

#[tokio::test(start_paused = true)]
async fn put_stale_version_is_a_conflict() {
    let platform = MemoryPlatform::default();
    let first = platform.put("service", "a", json!(1), Precondition::Absent).await.unwrap();
    let second = Precondition::Version(first);
    platform.put("service", "a", json!(2), second).await.unwrap();
    let err = platform.put("service", "a", json!(3), second).await.unwrap_err();
    assert!(matches!(err, PlatformError::Conflict { .. }));
}

#[tokio::test(start_paused = true)]
async fn put_lost_answer_takes_effect() {
    let platform = MemoryPlatform::default();
    platform.set_lose_answers(true);
    let result = platform.put("service", "a", json!(1), Precondition::Absent).await;
    assert!(matches!(result, Err(PlatformError::Unavailable(_))));
    assert_eq!(platform.get("service", "a").await.unwrap().body, Some(json!(1)));
}

#[tokio::test(start_paused = true)]
async fn watch_returns_changes_after_version() {
    let platform = MemoryPlatform::default();
    let version = platform.force_put("service", "a", json!(1));
    platform.force_put("service", "b", json!(2));
    let changes = platform.watch(&["service"], version, Duration::from_secs(1)).await.unwrap();
    assert_eq!(changes.objects.len(), 1);
    assert_eq!(changes.objects[0].name, "b");
}
