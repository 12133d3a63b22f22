//! Witnesses of keys: each way by which a key becomes known elsewhere, on its own.
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

fn kernel(fleet: &Fleet, rank: usize) -> Arc<Kernel> {
    let any = fleet.kernels().next().unwrap();
    Arc::clone(fleet.kernel(&ranked(any, &key())[rank]).unwrap())
}

/// Leaves a key in the ledger of an instance as one that ran there.
fn note_run(kernel: &Kernel) {
    let mut ledger = kernel.keys.ledger().lock();
    let begin = ledger.begin(Instant::now(), &SERVICE.into(), key(), 0);
    let BeginOutcome::Run(run) = begin else { panic!("{begin:?}") };
    assert!(ledger.mark_dispatched(&key(), run));
}

fn knows(kernel: &Kernel) -> bool {
    kernel.keys.ledger().lock().keys().iter().any(|(_, digest)| *digest == key())
}

async fn claim(fleet: &mut Fleet, kernel: &Arc<Kernel>) -> (KeyedRun, Result<(), Problem>) {
    let owner = Arc::clone(kernel);
    let claim = tokio::spawn(async move {
        let cx = context(&owner).unwrap();
        let Accepted::Run(mut run) = accept(&owner, &cx, key(), &head(1), None).unwrap() else {
            panic!("answered before");
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
    note_run(&kernel(&fleet, 1));
    let owner = kernel(&fleet, 0);
    let (_, claimed) = claim(&mut fleet, &owner).await;
    assert_eq!(claimed.unwrap_err().outcome, Outcome::Unknown);
}

#[tokio::test(start_paused = true)]
async fn claim_after_change_asks_every_owner() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    note_run(&kernel(&fleet, 2));
    let owner = kernel(&fleet, 0);
    let (_, claimed) = claim(&mut fleet, &owner).await;
    assert_eq!(claimed.unwrap_err().outcome, Outcome::Unknown);
}

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

#[tokio::test(start_paused = true)]
async fn mark_dispatched_old_claim_is_not_run() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    let owner = kernel(&fleet, 0);
    let (mut run, claimed) = claim(&mut fleet, &owner).await;
    claimed.unwrap();
    assert!(knows(&kernel(&fleet, 1)));
    fleet.run_for(MAX_CLAIM_AGE).await;
    assert_eq!(run.mark_dispatched().unwrap_err().outcome, Outcome::NotRun);
    fleet.run_for(SECOND).await;
    assert!(!knows(&kernel(&fleet, 1)));
}

#[tokio::test(start_paused = true)]
async fn note_view_after_joins_passes_keys_on() {
    let mut fleet = fleet_of(&["a"]).await;
    note_run(&kernel(&fleet, 0));
    for name in ["b", "c", "d"] {
        fleet.start(name, DATA_CENTRE);
    }
    fleet.run_for(SECOND * 5).await;
    assert!(knows(&kernel(&fleet, 0)) && knows(&kernel(&fleet, 1)));
}

#[tokio::test(start_paused = true)]
async fn pass_keys_leaver_that_ends_at_once_leaves_keys() {
    let mut fleet = fleet_of(&["a", "b", "c"]).await;
    let leaver = kernel(&fleet, 0);
    note_run(&leaver);
    leaver.leave(Instant::now());
    leaver.pass_keys();
    fleet.kill(leaver.id());
    fleet.run_for(SECOND).await;
    assert!(knows(&kernel(&fleet, 0)) && knows(&kernel(&fleet, 1)));
}
