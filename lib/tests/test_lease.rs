//! Tests that at most one instance holds a lease at any time, although each instance decides by its
//! own clock, calls take time and responses may be lost.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::lease::{Lease, LEASE_DURATION};
use testutils::memory_platform::MemoryPlatform;
use tokio::time::{advance, Instant};

fn lease(holder: &str) -> Lease {
    Lease::new("horn-east-a", 0, holder.into(), 1)
}

#[tokio::test(start_paused = true)]
async fn acquire_held_lease_waits_for_its_end() {
    let platform = MemoryPlatform::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert!(a.acquire(&platform).await.unwrap());
    assert!(!b.acquire(&platform).await.unwrap());
    advance(LEASE_DURATION - Duration::from_millis(1)).await;
    assert!(!b.acquire(&platform).await.unwrap());
    advance(Duration::from_millis(1)).await;
    assert!(!a.is_held(Instant::now()));
    assert!(b.acquire(&platform).await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn renew_keeps_others_out() {
    let platform = MemoryPlatform::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    a.acquire(&platform).await.unwrap();
    for _ in 0..4 {
        assert!(!b.acquire(&platform).await.unwrap());
        advance(LEASE_DURATION / 2).await;
        assert!(a.renew(&platform).await.unwrap());
    }
    assert!(!b.acquire(&platform).await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn renew_slow_call_counts_from_before_it() {
    let platform = MemoryPlatform::default();
    let mut a = lease("a");
    a.acquire(&platform).await.unwrap();
    platform.set_delay(Duration::from_secs(2));
    let started = Instant::now();
    a.renew(&platform).await.unwrap();
    assert_eq!(a.expires(), Some(started + LEASE_DURATION));
}

#[tokio::test(start_paused = true)]
async fn renew_lost_answer_is_recognised() {
    let platform = MemoryPlatform::default();
    let mut a = lease("a");
    a.acquire(&platform).await.unwrap();
    platform.set_lose_answers(true);
    assert!(a.renew(&platform).await.is_err());
    platform.set_lose_answers(false);
    assert!(a.renew(&platform).await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn renew_after_takeover_loses_the_lease() {
    let platform = MemoryPlatform::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    a.acquire(&platform).await.unwrap();
    b.acquire(&platform).await.unwrap();
    advance(LEASE_DURATION).await;
    b.acquire(&platform).await.unwrap();
    assert!(!a.renew(&platform).await.unwrap());
    assert!(!a.is_held(Instant::now()));
}
