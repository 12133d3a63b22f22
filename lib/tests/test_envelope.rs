//! Envelopes that are forged, replayed or sealed with an unknown key are refused. Keys can be rotated
//! without a gap.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::envelope::{EnvelopeError, PeerKey, Sealer};
use hollyhead::fleet::Fleet;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const OLD: (u8, PeerKey) = (1, [1; 32]);
const NEW: (u8, PeerKey) = (2, [2; 32]);

fn sealer(name: &str, epoch: u64, keys: &[(u8, PeerKey)]) -> Sealer {
    Sealer::new(name.into(), epoch, keys.to_vec())
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    TestRunner::new_with_rng(
        ProptestConfig { failure_persistence: None, ..Default::default() },
        rng,
    )
}

#[test]
fn open_sealed_returns_sender_and_body() {
    let datagram = sealer("a", 7, &[OLD]).seal(b"body");
    let receiver = sealer("b", 1, &[OLD]);
    let (origin, body) = receiver.open(&datagram).unwrap();
    assert_eq!((origin.sender.as_str(), origin.epoch, body), ("a", 7, &b"body"[..]));
}

#[test]
fn open_changed_bit_is_refused() {
    let datagram = sealer("a", 7, &[OLD]).seal(b"body of a message");
    let receiver = sealer("b", 1, &[OLD]);
    let changes = (0..datagram.len(), 0..8u8);
    let check = |(at, bit): (usize, u8)| {
        let mut forged = datagram.clone();
        forged[at] ^= 1 << bit;
        prop_assert!(receiver.open(&forged).is_err());
        Ok(())
    };
    runner().run(&changes, check).unwrap();
    assert!(receiver.open(&datagram).is_ok());
}

#[test]
fn open_garbage_is_refused() {
    let receiver = sealer("b", 1, &[OLD]);
    let check = |buf: Vec<u8>| {
        prop_assert!(receiver.open(&buf).is_err());
        Ok(())
    };
    runner().run(&proptest::collection::vec(any::<u8>(), 0..200), check).unwrap();
}

#[test]
fn open_any_order_accepts_each_once() {
    let order = proptest::collection::vec(0..300usize, 1..600);
    let check = |order: Vec<usize>| {
        let sender = sealer("a", 1, &[OLD]);
        let datagrams: Vec<_> = (0..300).map(|_| sender.seal(b"x")).collect();
        let receiver = sealer("b", 1, &[OLD]);
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            let is_new = seen.insert(index);
            prop_assert_eq!(receiver.open(&datagrams[index]).is_ok(), is_new);
        }
        Ok(())
    };
    runner().run(&order, check).unwrap();
}

#[test]
fn open_window_edge_refuses_older() {
    let sender = sealer("a", 1, &[OLD]);
    let datagrams: Vec<_> = (0..1_026).map(|_| sender.seal(b"x")).collect();
    let receiver = sealer("b", 1, &[OLD]);
    receiver.open(&datagrams[1_025]).unwrap();
    assert_eq!(receiver.open(&datagrams[0]), Err(EnvelopeError::Replayed));
    assert_eq!(receiver.open(&datagrams[1]), Err(EnvelopeError::Replayed));
    assert!(receiver.open(&datagrams[2]).is_ok());
}

#[test]
fn open_earlier_run_is_outdated() {
    let earlier = sealer("a", 3, &[OLD]).seal(b"x");
    let receiver = sealer("b", 1, &[OLD]);
    receiver.open(&sealer("a", 4, &[OLD]).seal(b"x")).unwrap();
    let err = EnvelopeError::Outdated { sender: "a".into(), known: 4 };
    assert_eq!(receiver.open(&earlier), Err(err));
}

#[test]
fn open_other_key_is_foreign() {
    let receiver = sealer("b", 1, &[OLD]);
    let foreign = sealer("a", 1, &[NEW]).seal(b"x");
    assert_eq!(receiver.open(&foreign), Err(EnvelopeError::UnknownKey));
    let wrong_key = sealer("a", 1, &[(OLD.0, NEW.1)]).seal(b"x");
    assert_eq!(receiver.open(&wrong_key), Err(EnvelopeError::Forged));
}

#[test]
fn open_keys_rotate_without_gap() {
    let steps = [vec![OLD], vec![OLD, NEW], vec![NEW, OLD], vec![NEW]];
    for (before, after) in steps.iter().zip(&steps[1..]) {
        let (a, b) = (sealer("a", 1, before), sealer("b", 1, after));
        assert!(b.open(&a.seal(b"x")).is_ok());
        assert!(a.open(&b.seal(b"x")).is_ok());
    }
}

#[tokio::test(start_paused = true)]
async fn open_clock_went_back_instance_is_taken_in_again() {
    let mut fleet = Fleet::new(1);
    for name in ["a", "b", "c"] {
        fleet.start_with_epoch(name, "horn-east-a", 1_000);
    }
    fleet.run_for(Duration::from_secs(3)).await;
    fleet.kill("b");
    fleet.run_for(Duration::from_secs(5)).await;
    let restarted = fleet.start_with_epoch("b", "horn-east-a", 10);
    fleet.run_for(Duration::from_secs(5)).await;
    assert_eq!(restarted.view().members().len(), 3);
    assert_eq!(fleet.kernel("a").unwrap().view().get("b").unwrap().epoch, 1_001);
}
