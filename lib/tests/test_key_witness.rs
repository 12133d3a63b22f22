//! Witnesses of idempotency keys: one test for each way in which a record of a key reaches another
//! instance, or protects a claim.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::kernel::Kernel;
use hollyhead::key_claim::{MAX_CLAIM_AGE, TRANSFER_TIME};
use hollyhead::key_ledger::{key_digest, BeginOutcome, KeyDigest};
use hollyhead::keyed_run::{accept, Accepted, KeyedRun};
use hollyhead::problem::{Outcome, Problem};
use testutils::key_fixture::{context, fleet, head, ranked, DATA_CENTRE, SERVICE};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn key() -> KeyDigest {
    key_digest(SERVICE, b"key")
}

async fn fleet_of(names: &[&str]) -> Fleet {
    let mut fleet = fleet(1);
    for name in names {
        fleet.start(name, DATA_CENTRE);
    }
    fleet.run_for(SECOND * 4).await;
    fleet
}

/// Returns the instance at a rank for the key: 0 is the owner, 1 the first witness.
fn kernel(fleet: &Fleet, rank: usize) -> Arc<Kernel> {
    let any = fleet.kernels().next().unwrap();
    Arc::clone(fleet.kernel(&ranked(any, &key())[rank]).unwrap())
}

/// Records the key in the ledger of an instance as dispatched.
fn record_run(kernel: &Kernel) {
    let mut ledger = kernel.keys.ledger().lock();
    let begin = ledger.begin(Instant::now(), &SERVICE.into(), key(), 0);
    let BeginOutcome::Run(run) = begin else { panic!("{begin:?}") };
    assert!(ledger.mark_dispatched(&key(), run));
}

fn has_record(kernel: &Kernel) -> bool {
    kernel.keys.ledger().lock().keys().iter().any(|(_, digest)| *digest == key())
}

async fn claim(fleet: &mut Fleet, kernel: &Arc<Kernel>) -> (KeyedRun, Result<(), Problem>) {
    let owner = Arc::clone(kernel);
    let claim = tokio::spawn(async move {
        let cx = context(&owner).unwrap();
        let Accepted::Run(mut run) = accept(&owner, &cx, key(), &head(1), None).unwrap() else {
            panic!("an earlier request with the key was answered");
        };
        let claimed = run.claim(&cx).await;
        (run, claimed)
    });
    tokio::task::yield_now().await;
    fleet.run_for(SECOND / 2).await;
    claim.await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn claim_known_to_witness_is_unknown() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    fleet.run_for(TRANSFER_TIME).await;
    record_run(&kernel(&fleet, 1));
    let owner = kernel(&fleet, 0);
    let (_, claimed) = claim(&mut fleet, &owner).await;
    assert_eq!(claimed.unwrap_err().outcome, Outcome::Unknown);
}

/// Shortly after a membership change, the only record of a key may be at an instance that is
/// neither the owner nor the first witness any more.
#[tokio::test(start_paused = true)]
async fn claim_after_change_asks_every_owner() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    record_run(&kernel(&fleet, 2));
    let owner = kernel(&fleet, 0);
    let (_, claimed) = claim(&mut fleet, &owner).await;
    assert_eq!(claimed.unwrap_err().outcome, Outcome::Unknown);
}

/// An owner that is partitioned from all witnesses cannot record the key anywhere else, and another
/// owner may take over.
#[tokio::test(start_paused = true)]
async fn claim_without_acknowledgement_is_not_run() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    let owner = kernel(&fleet, 0);
    for rank in 1..3 {
        let other = kernel(&fleet, rank).id().to_string();
        fleet.cut(&[owner.id().as_str()], &[&other]);
    }
    let (_, claimed) = claim(&mut fleet, &owner).await;
    assert_eq!(claimed.unwrap_err().outcome, Outcome::NotRun);
}

/// A claim expires when the owner was too slow to dispatch its request; the witness then deletes
/// its record, so that the key can be used again.
#[tokio::test(start_paused = true)]
async fn mark_dispatched_old_claim_is_not_run() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    let owner = kernel(&fleet, 0);
    let (mut run, claimed) = claim(&mut fleet, &owner).await;
    claimed.unwrap();
    assert!(has_record(&kernel(&fleet, 1)));
    fleet.run_for(MAX_CLAIM_AGE).await;
    assert_eq!(run.mark_dispatched().unwrap_err().outcome, Outcome::NotRun);
    fleet.run_for(SECOND).await;
    assert!(!has_record(&kernel(&fleet, 1)));
}

/// Instances that join take over the ownership of keys whose records are all at earlier members.
#[tokio::test(start_paused = true)]
async fn note_view_after_joins_passes_keys_on() {
    let mut fleet = fleet_of(&["a"]).await;
    record_run(&kernel(&fleet, 0));
    for name in ["b", "c", "d"] {
        fleet.start(name, DATA_CENTRE);
    }
    fleet.run_for(SECOND * 5).await;
    assert!(has_record(&kernel(&fleet, 0)) && has_record(&kernel(&fleet, 1)));
}

/// A leaving instance may stop before the periodic transfer of its keys has run, so it transfers
/// all of them at once.
#[tokio::test(start_paused = true)]
async fn pass_keys_leaver_that_ends_at_once_leaves_keys() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    let leaver = kernel(&fleet, 0);
    record_run(&leaver);
    leaver.leave(Instant::now());
    leaver.hand_over_keys();
    fleet.kill(leaver.id());
    fleet.run_for(SECOND).await;
    assert!(has_record(&kernel(&fleet, 0)) && has_record(&kernel(&fleet, 1)));
}
