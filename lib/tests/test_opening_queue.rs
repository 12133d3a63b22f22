//! Tests of the queue of openings that wait for room.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;
use std::time::Duration;

use hollyhead::opening::{first_transmission, Opening};
use hollyhead::opening_queue::{HeldOpening, OpeningQueue, MAX_HELD_BYTES, MAX_HELD_OPENINGS};
use hollyhead::segment::FlowEnds;
use testutils::json_segment::opening as opening_segment;
use tokio::time::Instant;

fn ends(caller: usize) -> FlowEnds {
    let address = |number: usize| SocketAddrV4::new((number as u32).into(), 443);
    FlowEnds { caller: address(caller), service: address(0) }
}

fn held(caller: usize, precedence: u8, aim: u64, at: Instant) -> HeldOpening {
    let opening = Opening {
        ends: ends(caller),
        service: "desk".into(),
        precedence,
        aim: Duration::from_millis(aim),
        timeout: Duration::from_secs(2),
        work: Duration::ZERO,
        first_sent_at: at,
    };
    HeldOpening { opening, segment: opening_segment(ends(caller), 0), datagram: vec![0; 32] }
}

/// Adds an opening, and returns the one that is refused since the queue is over a bound.
fn push(queue: &mut OpeningQueue, held: HeldOpening, now: Instant) -> Option<HeldOpening> {
    queue.push(held);
    let excess = queue.take_excess(now);
    assert!(queue.take_excess(now).is_none());
    excess
}

fn order(queue: &mut OpeningQueue, now: Instant) -> Vec<usize> {
    let held = queue.take_in_order(now);
    held.iter().map(|it| u32::from(*it.opening.ends.caller.ip()) as usize).collect()
}

/// Load: openings of two precedences, of which two can't meet their aims any more.
#[test]
fn take_in_order_ranks_by_precedence_then_slack() {
    let start = Instant::now();
    let mut queue = OpeningQueue::default();
    let late = [(1, 1, 100), (2, 0, 100)];
    for (caller, precedence, aim) in late.into_iter().chain([(3, 1, 900), (4, 1, 500), (5, 0, 900)])
    {
        assert!(push(&mut queue, held(caller, precedence, aim, start), start).is_none());
    }
    let now = start + Duration::from_millis(200);
    let newer = held(6, 1, 500, now);
    assert_eq!(queue.count_ahead(&newer.opening, now), 3);
    assert!(push(&mut queue, newer, now).is_none());
    assert_eq!(order(&mut queue, now), [5, 2, 4, 6, 3, 1]);
    assert!(queue.is_empty());
}

#[test]
fn replace_copy_keeps_one_packet_and_its_place() {
    let now = Instant::now();
    let mut queue = OpeningQueue::default();
    assert_eq!(queue.replace_copy(&opening_segment(ends(1), 1), &[1]), None);
    assert!(push(&mut queue, held(1, 0, 500, now), now).is_none());
    assert_eq!(queue.replace_copy(&opening_segment(ends(1), 1), &[1]), Some("desk".into()));
    let held = queue.take_in_order(now);
    assert_eq!((held.len(), held[0].segment.ack, &held[0].datagram[..]), (1, 1, &[1_u8][..]));
    assert_eq!(held[0].opening.first_sent_at, now);
}

/// Load: more openings, or larger ones, than the queue holds.
#[test]
fn push_over_a_bound_gives_back_the_last() {
    let now = Instant::now();
    let mut queue = OpeningQueue::default();
    for caller in 0..MAX_HELD_OPENINGS {
        assert!(push(&mut queue, held(caller, 1, 500, now), now).is_none());
    }
    assert_eq!(push(&mut queue, held(1_000, 2, 500, now), now).unwrap().opening.precedence, 2);
    assert_eq!(push(&mut queue, held(1_000, 0, 500, now), now).unwrap().opening.precedence, 1);
    let large = HeldOpening { datagram: vec![0; MAX_HELD_BYTES], ..held(2_000, 2, 500, now) };
    assert_eq!(push(&mut queue, large, now).unwrap().opening.precedence, 2);
    assert_eq!(queue.len(), MAX_HELD_OPENINGS);
    assert_eq!(queue.take_in_order(now).len(), MAX_HELD_OPENINGS);
    assert!(push(&mut queue, held(1, 0, 500, now), now).is_none());
}

/// Load: one service holds all but one place, and the last opening to wait is of another one.
#[test]
fn take_excess_takes_from_the_service_that_holds_most() {
    let now = Instant::now();
    let mut queue = OpeningQueue::default();
    let of_other = |caller| {
        let mut held = held(caller, 9, 500, now);
        held.opening.service = "other".into();
        held
    };
    queue.push(of_other(0));
    (1..MAX_HELD_OPENINGS).for_each(|caller| queue.push(held(caller, 1, 500, now)));
    let excess = push(&mut queue, of_other(1_000), now).unwrap();
    assert_eq!(excess.opening.service, "desk");
    assert_eq!(queue.take_service_in_order("other", now).len(), 2);
    assert_eq!(queue.len(), MAX_HELD_OPENINGS - 2);
}

/// Load: the copies of held openings are much larger than the first transmissions.
#[test]
fn take_excess_after_larger_copies_keeps_the_bytes() {
    let now = Instant::now();
    let mut queue = OpeningQueue::default();
    (0..10).for_each(|caller| queue.push(held(caller, 1, 500, now)));
    for caller in 0..10 {
        let copy = vec![0; MAX_HELD_BYTES / 4];
        assert!(queue.replace_copy(&opening_segment(ends(caller), 1), &copy).is_some());
    }
    while queue.take_excess(now).is_some() {}
    let held = queue.take_in_order(now);
    assert_eq!(held.iter().map(|it| it.datagram.len()).sum::<usize>(), MAX_HELD_BYTES);
}

#[test]
fn first_transmission_counts_from_the_first_copy() {
    let now = Instant::now();
    let waited = |copy| now - first_transmission(&opening_segment(ends(1), copy), now);
    assert_eq!([0, 1, 2, 9].map(waited).map(|it| it.as_millis()), [0, 200, 600, 600]);
}
