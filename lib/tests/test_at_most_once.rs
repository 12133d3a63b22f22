//! Requests with idempotency keys at several instances: the execution logs of the backend servers
//! show that no request runs twice.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use hollyhead::key_claim::{key_hash, key_owners};
use hollyhead::key_ledger::key_digest;
use hollyhead::owner::bucket_of;
use http::Method;
use serde_json::Value;
use testutils::fault::Fault;
use testutils::records;
use testutils::request_harness::{call, call_http2, RequestHarness, SERVICE};
use tokio::time::Instant;

const SLOTS: u32 = 6;
const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

fn service() -> Value {
    let mut service = records::service(SERVICE, SocketAddr::from(([10, 0, 0, 1], 7000)));
    service["at_most_once"] = true.into();
    service
}

async fn harness() -> Result<RequestHarness> {
    RequestHarness::new(service(), 1, SLOTS, &NAMES).await
}

/// Returns the owner of a key and its witnesses, in rank order.
fn ranked(harness: &RequestHarness, key: &str) -> Vec<String> {
    let plan = harness.instances.values().next().unwrap().kernel().plan();
    let digest = key_digest(SERVICE, key.as_bytes());
    let owners = key_owners(plan.service(SERVICE).unwrap(), &digest).unwrap();
    let ranked = owners.ranked(bucket_of(key_hash(&digest)));
    ranked.into_iter().map(|id| id.to_string()).collect()
}

/// Waits until the view of each instance has `count` members and it may run requests with keys.
async fn wait_for_members(harness: &RequestHarness, count: usize) -> Result<()> {
    let is_ready = |harness: &RequestHarness| {
        harness.instances.values().all(|entry| {
            let kernel = entry.kernel();
            kernel.view().members().len() == count && kernel.keys.may_run(Instant::now())
        })
    };
    harness.wait_until(is_ready).await
}

#[tokio::test(flavor = "multi_thread")]
async fn run_repeat_at_any_instance_gets_first_answer() -> Result<()> {
    let harness = harness().await?;
    let mut answers = Vec::new();
    for name in NAMES.iter().cycle().take(6) {
        let reply = harness.call(name, Method::POST, "a", &[("idempotency-key", "k")]).await?;
        answers.push((reply.status, reply.body.unwrap()));
    }
    assert!(answers.iter().all(|answer| *answer == answers[0] && answer.0 == 200));
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn run_repeats_at_once_run_once() -> Result<()> {
    let harness = harness().await?;
    harness.servers[0].journal.faults.set(Fault::Slow(Duration::from_millis(100)));
    let headers = [("idempotency-key", "k")];
    let calls = (0..9).map(|n| harness.call(NAMES[n % 3], Method::POST, "a", &headers));
    for reply in futures::future::join_all(calls).await {
        let reply = reply?;
        assert!(reply.status == 200 || reply.outcome() == "running", "{reply:?}");
    }
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn run_key_used_for_other_request_is_refused() -> Result<()> {
    let harness = harness().await?;
    let headers = [("idempotency-key", "k")];
    assert_eq!(harness.call("entry-1", Method::POST, "a", &headers).await?.status, 200);
    let reply = harness.call("entry-2", Method::PUT, "b", &headers).await?;
    assert_eq!((reply.status, reply.outcome().as_str()), (422, "not_run"));
    assert_eq!(harness.executions("b"), 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn run_failed_run_repeat_is_unknown() -> Result<()> {
    let harness = harness().await?;
    harness.servers[0].journal.faults.script(&[Fault::DisconnectBeforeResponse]);
    for name in NAMES {
        let reply = harness.call(name, Method::POST, "a", &[("idempotency-key", "k")]).await?;
        assert_eq!(reply.outcome(), "unknown");
    }
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn run_shed_run_may_be_repeated() -> Result<()> {
    let harness = harness().await?;
    harness.servers[0].journal.faults.script(&[Fault::Shed]);
    let headers = [("idempotency-key", "k")];
    assert_eq!(harness.call("entry-1", Method::POST, "a", &headers).await?.outcome(), "not_run");
    assert_eq!(harness.call("entry-2", Method::POST, "a", &headers).await?.status, 200);
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

/// The witness of a key takes over as the owner: it has a record of the key, but not the response.
#[tokio::test(flavor = "multi_thread")]
async fn kill_owner_after_answer_repeat_does_not_run() -> Result<()> {
    let mut harness = harness().await?;
    let ranked = ranked(&harness, "k");
    let headers = [("idempotency-key", "k")];
    assert_eq!(harness.call(&ranked[0], Method::POST, "a", &headers).await?.status, 200);
    harness.kill(&ranked[0]);
    wait_for_members(&harness, 2).await?;
    for name in &ranked[1..] {
        let reply = harness.call(name, Method::POST, "a", &headers).await?;
        assert_eq!(reply.outcome(), "unknown");
    }
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

/// The owner records the key at a witness before it dispatches the request, so the record survives
/// an owner that fails while the request runs.
#[tokio::test(flavor = "multi_thread")]
async fn kill_owner_while_running_repeat_does_not_run() -> Result<()> {
    let mut harness = harness().await?;
    let ranked = ranked(&harness, "k");
    harness.servers[0].journal.faults.script(&[Fault::Silent]);
    let address = harness.instances[&ranked[0]].addresses().request;
    let first =
        tokio::spawn(
            async move { call(address, Method::POST, "a", &[("idempotency-key", "k")]).await },
        );
    harness.wait_until(|harness| harness.executions("a") == 1).await?;
    harness.kill(&ranked[0]);
    assert!(first.await?.is_err());
    wait_for_members(&harness, 2).await?;
    let reply = harness.call(&ranked[1], Method::POST, "a", &[("idempotency-key", "k")]).await?;
    assert_eq!((reply.outcome().as_str(), harness.executions("a")), ("unknown", 1));
    Ok(())
}

/// In a rolling replacement, no instance that took part in the request remains; each one has to
/// transfer its keys before it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leave_all_replaced_repeat_does_not_run() -> Result<()> {
    let mut harness = harness().await?;
    let headers = [("idempotency-key", "k")];
    assert_eq!(harness.call("entry-1", Method::POST, "a", &headers).await?.status, 200);
    for (old, new) in [("entry-1", "entry-4"), ("entry-2", "entry-5"), ("entry-3", "entry-6")] {
        harness.start(new).await?;
        wait_for_members(&harness, 4).await?;
        harness.instances.remove(old).unwrap().leave().await;
        wait_for_members(&harness, 3).await?;
    }
    for name in ["entry-4", "entry-5", "entry-6"] {
        let reply = harness.call(name, Method::POST, "a", &headers).await?;
        assert_eq!(reply.outcome(), "unknown");
    }
    assert_eq!(harness.executions("a"), 1);
    Ok(())
}

/// Instances that started recently may lack the record of an earlier attempt, so they refuse a
/// request that is marked as a retry.
#[tokio::test(flavor = "multi_thread")]
async fn run_marked_repeat_of_unseen_key_is_unknown() -> Result<()> {
    let harness = harness().await?;
    let headers = [("idempotency-key", "k"), ("idempotency-attempt", "2")];
    let reply = harness.call("entry-1", Method::POST, "a", &headers).await?;
    assert_eq!((reply.outcome().as_str(), harness.executions("a")), ("unknown", 0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn run_repeat_over_http2_gets_first_answer() -> Result<()> {
    let harness = harness().await?;
    for name in NAMES {
        let address = harness.instances[name].addresses().request;
        let reply = call_http2(address, "a", &[("idempotency-key", "k")]).await?;
        assert_eq!((reply.status, harness.executions("a")), (200, 1));
    }
    Ok(())
}

/// A caller that forges the headers of a forwarded request must not bypass the owner of the key.
#[tokio::test(flavor = "multi_thread")]
async fn forward_made_up_by_caller_is_not_trusted() -> Result<()> {
    let harness = harness().await?;
    let ranked = ranked(&harness, "k");
    let headers = [
        ("idempotency-key", "k"),
        ("hollyhead-forwarded-by", ranked[0].as_str()),
        ("hollyhead-forward-code", "00"),
    ];
    let reply = harness.call(&ranked[1], Method::POST, "a", &headers).await?;
    assert_eq!((reply.status, harness.executions("a")), (200, 1));
    Ok(())
}
