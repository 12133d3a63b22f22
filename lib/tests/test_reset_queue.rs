//! Resets leave at a limited rate, the longest wait first.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::reset_queue::{QueuedReset, ResetQueue, MAX_RESETS_PER_SECOND};
use hollyhead::segment::FlowEnds;
use tokio::time::Instant;

const CALLERS: u16 = 4_000;

fn reset(caller: u16, since: Instant) -> QueuedReset {
    let address = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    QueuedReset {
        ends: FlowEnds { caller: address(caller), service: address(443) },
        since,
        target: 1,
    }
}

/// Pushes a reset of each caller, the latest first, and returns how many leave by `now`.
fn drain(queue: &mut ResetQueue, since: Instant, now: Instant) -> u64 {
    for caller in (0..CALLERS).rev() {
        queue.push(reset(caller, since + Duration::from_micros(caller.into())));
    }
    let mut last = since;
    let mut sent = 0;
    while let Some(next) = queue.pop(now) {
        assert!(next.since >= last, "a later flow was reset first");
        last = next.since;
        queue.record_sent();
        sent += 1;
    }
    sent
}

/// Load: thousands of flows to reset at an instance with a link of 1 Gbit/s, and with 10 Mbit/s.
#[test]
fn pop_on_a_slow_link_sends_fewer_resets_at_once() {
    let now = Instant::now();
    let mut fast = ResetQueue::default();
    fast.set_link_mbps(1_000.0);
    let burst = drain(&mut fast, now, now);
    assert_eq!(burst, MAX_RESETS_PER_SECOND / 20);
    let tenth = now + Duration::from_millis(100);
    assert_eq!(drain(&mut fast, now, tenth), burst);

    let mut slow = ResetQueue::default();
    slow.set_link_mbps(10.0);
    drain(&mut slow, now, now);
    let tick = now + Duration::from_millis(30);
    let on_slow = drain(&mut slow, now, tick);
    assert!((1..MAX_RESETS_PER_SECOND * 30 / 1_000).contains(&on_slow), "{on_slow}");
}

/// Load: a target is found to have ended again before its flows are reset.
#[test]
fn push_of_a_queued_flow_changes_nothing() {
    let now = Instant::now();
    let mut queue = ResetQueue::default();
    queue.push(reset(1, now));
    queue.push(reset(1, now));
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.pop(now), Some(reset(1, now)));
    assert!(queue.is_empty());
}
