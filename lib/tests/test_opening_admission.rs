//! Tests of held openings at the packet forwarder and at an instance.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::collections::HashMap;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::{CookieVerdict, ResetReason};
use hollyhead::directory::Directory;
use hollyhead::ids::ServiceId;
use hollyhead::room::{DataCentreRoom, Demand, ServiceRoom};
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Route, Routing, ServiceShare,
};
use hollyhead::scarce_room::MAX_HOLD_TIME;
use hollyhead::segment::{Control, FlowEnds, Segment, SegmentFormat};
use hollyhead::view::{Member, MemberState, View};
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::{ready_registration, CookieFleet};
use testutils::json_segment::{encode, opening, JsonFormat};
use testutils::memory_platform::MemoryPlatform;
use tokio::time::Instant;

const URGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OTHER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
const SERVICE: &str = "mailroom";
const TARGETS: usize = 6;
const TICK: Duration = Duration::from_millis(30);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(60);

fn routing(version: u64, others: &[(SocketAddrV4, u8)]) -> Routing {
    let route = |(address, precedence): &(SocketAddrV4, u8)| Route {
        name: format!("route-{address}").into(),
        address: *address,
        services: vec![ServiceShare { service: SERVICE.into(), weight: 1 }],
        precedence: *precedence,
        is_idempotent: true,
        timeout: Duration::from_secs(3),
        aim: Duration::from_secs(2),
    };
    let routes = [(URGENT, 0)].iter().chain(others).map(route).collect();
    let limits = FlowLimits { idle_timeout: Duration::from_secs(10) };
    Routing { version, routes, services: Vec::new(), limits }
}

/// Rooms of the service at an instance that may place 11 requests per second, with a demand that is
/// beyond or within its capacity.
fn rooms(is_scarce: bool) -> HashMap<ServiceId, ServiceRoom> {
    let requests_per_second = if is_scarce { 400.0 } else { 10.0 };
    let turned_away_per_second = if is_scarce { 300.0 } else { 0.0 };
    let demand = Some(Demand { requests_per_second, turned_away_per_second });
    let data_centres = vec![DataCentreRoom { data_centre: "a".into(), slots: 10, demand }];
    let work = Some(Duration::from_millis(100));
    HashMap::from_iter([(SERVICE.into(), ServiceRoom { data_centres, work, own_share: Some(0.1) })])
}

fn member(name: &str, data_centre: &str) -> Member {
    let peer = SocketAddr::from(([10, 0, 0, 1], 7_000));
    Member {
        id: name.into(),
        data_centre: data_centre.into(),
        peer,
        request: peer,
        epoch: 1,
        incarnation: 0,
        state: MemberState::Alive,
    }
}

fn ends(caller: u16, service: SocketAddrV4) -> FlowEnds {
    FlowEnds { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 20_000 + caller), service }
}

/// A forwarder with two routes of different precedence to one service, and too little room.
struct Fixture {
    forwarder: CookieForwarder,
    directory: Directory,
}

impl Fixture {
    fn new(is_scarce: bool) -> Self {
        let setup = CookieForwarderSetup {
            id: "x".into(),
            data_centre: "horn-east-a".into(),
            flow_key: [7; 16],
            cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
            outage_bound: Duration::from_secs(5),
        };
        let (forwarder, directory) = (CookieForwarder::new(setup), Directory::default());
        let mut fixture = Self { forwarder, directory };
        fixture.set_routing(1, &[(OTHER, 1)]);
        let registrations = (0..TARGETS).map(|number| {
            let registration = ready_registration(number);
            let name = registration.target.clone();
            DirectoryRecord { name, version: 1, body: Some(RecordBody::Registration(registration)) }
        });
        fixture.apply(Part::Targets, 1, registrations.collect());
        fixture.forwarder.set_routing_confirmed(Some(Instant::now()));
        fixture.forwarder.set_rooms(rooms(is_scarce));
        fixture
    }

    fn set_routing(&mut self, version: u64, others: &[(SocketAddrV4, u8)]) {
        let listed = routing(version, others).into_records().into_iter();
        let listed = listed.map(|(name, body)| (name, version, body)).collect();
        let records = self.directory.differences(Part::Routing, version, listed);
        self.apply(Part::Routing, version, records);
    }

    fn apply(&mut self, part: Part, version: u64, records: Vec<DirectoryRecord>) {
        let now = Instant::now();
        self.directory.merge(part, records, now);
        self.directory.confirm(part, version, now);
        self.forwarder.update(&self.directory, part, now);
    }

    fn open(&mut self, ends: FlowEnds, copy: u32) -> CookieVerdict {
        let segment = opening(ends, copy);
        self.forwarder.on_packet(&segment, &encode(&segment), Instant::now())
    }

    /// Opens flows from `callers` until one is held, and returns that flow.
    fn open_until_held(&mut self, mut callers: std::ops::Range<u16>) -> FlowEnds {
        let flows = callers.by_ref().map(|caller| ends(caller, OTHER));
        let held = flows.into_iter().find(|flow| self.open(*flow, 0) == CookieVerdict::Hold);
        held.expect("no opening was held")
    }

    /// Returns the packets that are no longer held, with their verdicts.
    fn take_released(&mut self) -> Vec<(Segment, CookieVerdict)> {
        let outcomes = self.forwarder.take_opening_outcomes();
        let packets = outcomes.into_iter().filter_map(|outcome| outcome.packet);
        packets
            .map(|it| {
                assert_eq!(it.datagram, encode(&it.segment));
                (it.segment, it.verdict)
            })
            .collect()
    }

    async fn tick(&mut self, time: Duration) {
        tokio::time::advance(time).await;
        self.forwarder.tick(Instant::now());
    }
}

fn target_of(verdict: CookieVerdict) -> u64 {
    match verdict {
        CookieVerdict::Forward { token, opens: true, .. } => token,
        other => panic!("expected the opening to be forwarded, got {other:?}"),
    }
}

/// Load: an opening waits a few ticks; its caller sends a copy before its release and one right
/// after.
#[tokio::test(start_paused = true)]
async fn on_packet_held_opening_is_released_once_to_one_target() {
    let mut fixture = Fixture::new(true);
    let flow = fixture.open_until_held(0..10);
    assert_eq!(fixture.open(flow, 1), CookieVerdict::Hold);
    assert_eq!((fixture.forwarder.held_openings(), fixture.take_released()), (1, vec![]));
    let mut released = Vec::new();
    for _ in 0..12 {
        fixture.tick(TICK).await;
        released.extend(fixture.take_released());
        if !released.is_empty() {
            break;
        }
    }
    let [(segment, verdict)] = released[..] else { panic!("released: {released:?}") };
    assert_eq!((segment.ends, segment.ack, fixture.forwarder.held_openings()), (flow, 1, 0));
    assert_eq!(target_of(fixture.open(flow, 2)), target_of(verdict));
    for number in 0..TARGETS {
        let name = ready_registration(number).target;
        let index = fixture.forwarder.targets().index(&name).unwrap();
        assert!(fixture.forwarder.targets().get(index).health().has_no_failures());
    }
    tokio::time::advance(HANDSHAKE_TIMEOUT).await;
    assert_ne!(
        target_of(fixture.open(flow, 2)),
        target_of(verdict),
        "no answer, so another target"
    );
    assert_eq!(fixture.take_released(), []);
}

/// Load: urgent openings arrive while others wait, until there is no room for them either.
#[tokio::test(start_paused = true)]
async fn on_packet_urgent_opening_goes_ahead_of_held_ones() {
    let mut fixture = Fixture::new(true);
    let held = fixture.open_until_held(0..10);
    target_of(fixture.open(ends(20, URGENT), 0));
    let mut urgent = (21..40).map(|caller| ends(caller, URGENT));
    let urgent = urgent.find(|flow| fixture.open(*flow, 0) == CookieVerdict::Hold).unwrap();
    assert_eq!(fixture.forwarder.held_openings(), 2);
    fixture.forwarder.close_openings(Instant::now());
    let released = fixture.take_released();
    assert_eq!(released.iter().map(|it| it.0.ends).collect::<Vec<_>>(), [urgent, held]);
    released.iter().for_each(|it| {
        target_of(it.1);
    });
    target_of(fixture.open(ends(41, OTHER), 0));
}

/// Load: urgent openings take all room for longer than another one can wait. It is refused while
/// its caller still has time to repeat it.
#[tokio::test(start_paused = true)]
async fn tick_refuses_what_waited_too_long() {
    let mut fixture = Fixture::new(true);
    let flow = fixture.open_until_held(0..10);
    let (start, mut callers) = (Instant::now(), 100);
    let refused = loop {
        for _ in 0..4 {
            callers += 1;
            fixture.open(ends(callers, URGENT), 0);
        }
        fixture.tick(TICK).await;
        let mut released = fixture.take_released().into_iter();
        if let Some((_, verdict)) = released.find(|it| it.0.ends == flow) {
            break verdict;
        }
    };
    assert_eq!(refused, CookieVerdict::Reset(ResetReason::NoRoom));
    assert!((TICK..=MAX_HOLD_TIME).contains(&start.elapsed()));
}

/// Load: the second and later requests of an open flow use the room that an opening would get.
#[tokio::test(start_paused = true)]
async fn on_segment_requests_of_open_flows_take_room() {
    let mut fixture = Fixture::new(true);
    let held = fixture.open_until_held(0..10);
    let flow = ends(20, URGENT);
    let CookieVerdict::Forward { cookie, .. } = fixture.open(flow, 0) else { panic!("held") };
    let mut released = Vec::new();
    for request in 0..20 {
        let control = Control { acknowledges: true, ..Control::default() };
        let (seq, ack) = (1 + 100 * request, 1 + 500 * request);
        let data = Segment { control, seq, ack, data_len: 100, cookie, ..opening(flow, 0) };
        fixture.forwarder.on_segment(&data, Instant::now());
        fixture.tick(TICK).await;
        released.extend(fixture.take_released());
    }
    let [(segment, verdict)] = released[..] else { panic!("released: {released:?}") };
    assert_eq!((segment.ends, verdict), (held, CookieVerdict::Reset(ResetReason::NoRoom)));
}

/// Load: openings wait when the figures are lost, when room returns, when the precedence of their
/// route changes and when their route is removed. Each is placed or reset at once.
#[tokio::test(start_paused = true)]
async fn held_openings_are_released_when_their_reason_ends() {
    let changes: [fn(&mut Fixture); 4] = [
        |fixture| fixture.forwarder.set_rooms(HashMap::default()),
        |fixture| fixture.forwarder.set_rooms(rooms(false)),
        |fixture| fixture.set_routing(2, &[(OTHER, 2)]),
        |fixture| fixture.set_routing(2, &[]),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut fixture = Fixture::new(true);
        let flow = fixture.open_until_held(0..10);
        change(&mut fixture);
        fixture.forwarder.tick(Instant::now());
        let released = fixture.take_released();
        let [(segment, verdict)] = released[..] else { panic!("change {number}: {released:?}") };
        assert_eq!(segment.ends, flow);
        if number < 3 {
            target_of(verdict);
        } else {
            assert_eq!(verdict, CookieVerdict::Reset(ResetReason::NoRoute));
        }
    }
}

/// Load: two openings wait when an instance joins, and when one leaves. The fabric may send their
/// copies elsewhere from then on, so they are placed at once, the urgent one first.
#[tokio::test(start_paused = true)]
async fn tick_changed_members_places_held_openings() {
    let mut fixture = Fixture::new(true);
    for names in [&["x", "y"][..], &["x"], &["x", "y", "z"]] {
        fixture.tick(TICK * 100).await;
        fixture.take_released();
        let flows = [OTHER, URGENT].map(|address| {
            let mut flows = (0..40).map(|caller| ends(caller, address));
            flows.find(|flow| fixture.open(*flow, 0) == CookieVerdict::Hold).unwrap()
        });
        let view = Arc::new(View::new(names.iter().map(|name| member(name, "a")).collect()));
        fixture.forwarder.set_view(Arc::clone(&view));
        fixture.forwarder.tick(Instant::now());
        let released = fixture.take_released();
        assert_eq!(released.iter().map(|it| it.0.ends).collect::<Vec<_>>(), [flows[1], flows[0]]);
        released.iter().for_each(|it| {
            target_of(it.1);
        });
        fixture.open_until_held(40..80);
        fixture.forwarder.set_view(view);
        fixture.forwarder.tick(Instant::now());
        assert_eq!((fixture.forwarder.held_openings(), fixture.take_released()), (1, vec![]));
    }
}

/// Load: openings within the capacity, and the same ones while the room is unknown. The verdicts are
/// the same.
#[tokio::test(start_paused = true)]
async fn on_packet_with_room_decides_as_without_figures() {
    let (mut with_room, mut without) = (Fixture::new(false), Fixture::new(true));
    without.forwarder.set_rooms(HashMap::default());
    for caller in 0..200 {
        let flow = ends(caller, if caller % 3 == 0 { URGENT } else { OTHER });
        for copy in 0..=u32::from(caller % 5 == 0) {
            assert_eq!(with_room.open(flow, copy), without.open(flow, copy));
        }
        let control = Control { acknowledges: true, ..Control::default() };
        let data = Segment { control, seq: 1, ack: 1, data_len: 9, ..opening(flow, 0) };
        let now = Instant::now();
        assert_eq!(
            with_room.forwarder.on_segment(&data, now),
            without.forwarder.on_segment(&data, now)
        );
    }
    assert!(with_room.forwarder.take_opening_outcomes().is_empty());
}

/// Load: more openings than there is room for at an instance that then leaves. Each is sent to one
/// target, once, the urgent ones first.
#[tokio::test(start_paused = true)]
async fn leave_sends_held_openings_in_order() {
    const LINK: LinkLimits = LinkLimits { bytes_per_second: 125_000_000, queue_bytes: 12_500_000 };
    let platform = Arc::new(MemoryPlatform::default());
    let body = serde_json::to_value(routing(1, &[(OTHER, 1)])).unwrap();
    platform.force_put(Part::Routing.kind(), "main", body);
    for number in 0..TARGETS {
        let body = serde_json::to_value(ready_registration(number)).unwrap();
        platform.force_put(Part::Targets.kind(), &format!("target-{number}"), body);
    }
    let mut fleet = CookieFleet::restart(1, LINK, platform);
    fleet.run_for(Duration::from_secs(2)).await;
    fleet.instances().for_each(|instance| instance.set_rooms(rooms(true)));
    for caller in 0..40 {
        let address = if caller % 2 == 0 { OTHER } else { URGENT };
        fleet.inject(0, &encode(&opening(ends(caller, address), 0)));
    }
    let held: Vec<_> =
        fleet.instances().map(|it| it.with_forwarder(|it| it.held_openings())).collect();
    assert!(held[0] >= 2, "held {held:?}");
    fleet.instances().for_each(|instance| instance.leave(Instant::now()));
    fleet.run_for(Duration::from_millis(50)).await;
    let datagrams = fleet.take_outbox().into_iter();
    // The outbox also contains the messages to other instances.
    let sent = datagrams.filter_map(|it| JsonFormat.decode(&it.2).ok());
    let (sent, reset): (Vec<_>, Vec<_>) = sent.partition(|it| it.control.opens);
    let flows: BTreeSet<_> = sent.iter().chain(&reset).map(|it| it.ends).collect();
    assert_eq!((sent.len() + reset.len(), flows.len()), (40, 40));
    let released = &sent[sent.len() - held[0]..];
    assert!(released.is_sorted_by_key(|it| it.ends.service == OTHER), "released {released:?}");
}
