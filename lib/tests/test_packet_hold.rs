//! Packets that reach an instance before its directory are neither lost nor refused.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::packet_hold::{
    HeldPacket, PacketHold, MAX_HELD_BYTES, MAX_HELD_PACKETS, MAX_HOLD_TIME,
};
use hollyhead::route::{FlowLimits, Part, Route, Routing, ServiceShare};
use hollyhead::segment::{Control, FlowEnds, Segment, SegmentFormat};
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::{ready_registration, CookieFleet};
use testutils::json_segment::{encode, opening, JsonFormat};
use testutils::memory_platform::MemoryPlatform;
use tokio::time::Instant;

const LINK: LinkLimits = LinkLimits { bytes_per_second: 125_000_000, queue_bytes: 12_500_000 };
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const TARGETS: usize = 6;

fn ends(caller: u16) -> FlowEnds {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 20_000 + caller);
    FlowEnds { caller, service: SERVICE }
}

fn data(caller: u16) -> Segment {
    let control = Control { acknowledges: true, ..Control::default() };
    Segment { control, data_len: 100, cookie: 9, ..opening(ends(caller), 0) }
}

/// Returns the segments of held packets, which must match their datagrams.
fn segments(packets: &[HeldPacket]) -> Vec<Segment> {
    let is_whole = |packet: &HeldPacket| packet.datagram == encode(&packet.segment);
    assert!(packets.iter().all(is_whole));
    packets.iter().map(|packet| packet.segment).collect()
}

#[test]
fn take_all_keeps_order() {
    let now = Instant::now();
    let mut hold = PacketHold::default();
    let sent = [opening(ends(0), 0), data(1), data(2), opening(ends(3), 0)];
    for segment in &sent {
        assert!(hold.push(segment, &encode(segment), now));
    }
    assert_eq!(segments(&hold.take_all()), sent);
    assert!(hold.take_all().is_empty());
}

/// Two copies of an opening packet that are released together would open a flow at two targets.
#[test]
fn push_retransmitted_opening_replaces_first_copy() {
    let now = Instant::now();
    let mut hold = PacketHold::default();
    for copy in 0..2 {
        assert!(hold.push(&opening(ends(0), copy), &encode(&opening(ends(0), copy)), now));
    }
    assert_eq!(segments(&hold.take_all()), [opening(ends(0), 1)]);
}

#[test]
fn take_expired_returns_only_old_packets() {
    let now = Instant::now();
    let mut hold = PacketHold::default();
    let later = now + Duration::from_millis(1);
    assert!(hold.push(&data(0), &encode(&data(0)), now));
    assert!(hold.push(&data(1), &encode(&data(1)), later));
    assert!(hold.take_expired(now + MAX_HOLD_TIME - Duration::from_millis(1)).is_empty());
    assert_eq!(segments(&hold.take_expired(now + MAX_HOLD_TIME)), [data(0)]);
    assert_eq!(segments(&hold.take_expired(later + MAX_HOLD_TIME)), [data(1)]);
}

#[test]
fn push_beyond_limits_is_refused() {
    let now = Instant::now();
    let mut hold = PacketHold::default();
    let accepted = (0..2 * MAX_HELD_PACKETS as u16).filter(|caller| {
        let segment = data(*caller);
        hold.push(&segment, &[0], now)
    });
    assert_eq!(accepted.count(), MAX_HELD_PACKETS);
    hold.take_all();
    assert!(hold.push(&data(0), &vec![0; MAX_HELD_BYTES], now));
    assert!(!hold.push(&data(1), &[0], now));
}

fn routing() -> serde_json::Value {
    let route = Route {
        name: "route".into(),
        address: SERVICE,
        services: vec![ServiceShare { service: "mailroom".into(), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(2),
        aim: Duration::ZERO,
    };
    let limits = FlowLimits { idle_timeout: Duration::from_secs(10) };
    serde_json::to_value(Routing { version: 1, routes: vec![route], services: Vec::new(), limits })
        .unwrap()
}

fn registration(number: usize) -> serde_json::Value {
    serde_json::to_value(ready_registration(number)).unwrap()
}

/// Replays the load at a fleet whose instances all start again at the same moment: callers, which
/// wait for no instance, open flows from the first millisecond on.
#[tokio::test(start_paused = true)]
async fn restart_of_all_instances_serves_first_callers() {
    const INSTANCES: usize = 8;
    const CALLERS: u16 = 150;
    /// Time after which callers retransmit their opening packets.
    const RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
    let platform = Arc::new(MemoryPlatform::default());
    platform.force_put(Part::Routing.kind(), "main", routing());
    for number in 0..TARGETS {
        let name = format!("target-{number}");
        platform.force_put(Part::Targets.kind(), &name, registration(number));
    }
    platform.set_delay(Duration::from_millis(10));
    let mut fleet = CookieFleet::restart(INSTANCES, LINK, platform);
    for caller in 0..CALLERS {
        fleet.inject(usize::from(caller) % INSTANCES, &encode(&opening(ends(caller), 0)));
        if caller % 3 == 0 {
            fleet.run_for(Duration::from_millis(1)).await;
        }
    }
    fleet.run_for(RETRANSMISSION_TIME).await;

    let mut opened = BTreeMap::<FlowEnds, u32>::new();
    let mut reset = BTreeSet::new();
    for (_, _, datagram) in fleet.take_outbox() {
        let segment = JsonFormat.decode(&datagram).unwrap();
        if segment.control.aborts {
            reset.insert(segment.ends);
        } else {
            *opened.entry(segment.ends).or_default() += 1;
        }
    }
    assert!(reset.is_empty(), "{} of {CALLERS} callers were reset", reset.len());
    assert_eq!(opened.len(), usize::from(CALLERS));
    assert!(opened.values().all(|count| *count == 1), "a caller's packet was sent twice");
}
