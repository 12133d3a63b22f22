//! Tests of the verdicts of the cookie forwarder, with the traffic that leads to each of them.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_forwarder::{
    CookieForwarder, CookieForwarderSetup, FlowTiming, MAX_CHECKS_WITHOUT_NEW_FLOWS, OUTAGE_MARGIN,
};
use hollyhead::cookie_verdict::{CookieVerdict, DropReason, ResetReason};
use hollyhead::directory::Directory;
use hollyhead::directory_message::TargetCondition;
use hollyhead::health_check::CheckOutcome;
use hollyhead::ids::Cookie;
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Registration, RegistrationState, Route,
    RoutedService, Routing, ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use hollyhead::target_health::{HANDSHAKE_TIMEOUT, SUSPICION_TIMEOUT};
use hollyhead::view::{Member, MemberState, View};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const MOVES: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const ROSTERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);
const OUTAGE_BOUND: Duration = Duration::from_secs(5);
const COLD_SLACK: u32 = 5;
/// Time after which a caller first retransmits unacknowledged data.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

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

fn route(name: &str, address: SocketAddrV4, service: &str, is_idempotent: bool) -> Route {
    Route {
        name: name.into(),
        address,
        services: vec![ServiceShare { service: service.into(), weight: 1 }],
        precedence: 1,
        is_idempotent,
        timeout: Duration::from_secs(1),
        aim: Duration::ZERO,
    }
}

fn all_routes() -> Vec<Route> {
    vec![
        route("feeds", FEEDS, "quaydesk", true),
        route("moves", MOVES, "quaydesk", false),
        route("rosters", ROSTERS, "rosterbook", true),
    ]
}

fn registration(number: u16, service: &str, data_centre: &str) -> Registration {
    Registration {
        target: format_smolstr!("i-{number:04x}"),
        token: u64::from(number),
        service: service.into(),
        address: SocketAddr::from(([10, 128, 0, 1], 8_000 + number)),
        data_centre: data_centre.into(),
        state: RegistrationState::Ready,
        slots: 2,
        cold_left: Duration::ZERO,
        started: 1,
    }
}

/// A forwarder with a directory that a test changes.
struct Fixture {
    forwarder: CookieForwarder,
    directory: Directory,
    version: u64,
    ports: u16,
}

impl Fixture {
    fn new(id: &str, view: &Arc<View>) -> Self {
        let setup = CookieForwarderSetup {
            id: id.into(),
            data_centre: "a".into(),
            flow_key: [7; 16],
            cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: COLD_SLACK },
            outage_bound: OUTAGE_BOUND,
        };
        let mut fixture = Self {
            forwarder: CookieForwarder::new(setup),
            directory: Directory::default(),
            version: 0,
            ports: 1_000,
        };
        fixture.forwarder.set_view(Arc::clone(view));
        fixture.set_routes(all_routes());
        fixture
    }

    /// Creates the forwarder of a single instance, with four targets in its own data centre and two
    /// in another.
    fn with_six_targets() -> Self {
        let mut fixture = Self::new("x", &Arc::new(View::new(vec![member("x", "a")])));
        for number in 1..=6 {
            let data_centre = if number <= 4 { "a" } else { "b" };
            fixture.register(registration(number, "quaydesk", data_centre));
        }
        fixture
    }

    fn set_routes(&mut self, routes: Vec<Route>) {
        let service = |name: &str| RoutedService {
            name: name.into(),
            health_path: "/health".into(),
            cold_time: Duration::from_secs(2),
            cold_flows_per_second: 0,
        };
        let services = vec![service("quaydesk"), service("rosterbook")];
        let limits = FlowLimits { idle_timeout: Duration::from_secs(15) };
        self.version += 1;
        let version = self.version;
        let routing = Routing { version, routes, services, limits };
        let listed = routing.into_records().into_iter();
        let listed = listed.map(|(name, body)| (name, version, body)).collect();
        let records = self.directory.differences(Part::Routing, version, listed);
        self.apply_records(Part::Routing, records);
        self.forwarder.set_routing_confirmed(Some(Instant::now()));
    }

    fn register(&mut self, registration: Registration) {
        let name = registration.target.clone();
        self.put_record(Part::Targets, name, Some(RecordBody::Registration(registration)));
    }

    /// Registers target 7, of the same service, at the address of `target`.
    fn reassign_address(&mut self, target: u64, started: u64) {
        let number = u16::try_from(target).unwrap();
        let address = registration(number, "quaydesk", "a").address;
        self.register(Registration { address, started, ..registration(7, "quaydesk", "a") });
    }

    fn set_outage(&mut self, data_centre: &str, is_out: bool) {
        self.put_record(Part::Outages, data_centre.into(), is_out.then_some(RecordBody::Outage));
    }

    fn put_record(&mut self, part: Part, name: SmolStr, body: Option<RecordBody>) {
        self.version += 1;
        self.apply_records(part, vec![DirectoryRecord { name, version: self.version, body }]);
    }

    fn apply_records(&mut self, part: Part, records: Vec<DirectoryRecord>) {
        let now = Instant::now();
        self.directory.merge(part, records, now);
        self.directory.confirm(part, self.version, now);
        self.forwarder.update(&self.directory, part, now);
    }

    fn ends(&mut self, service: SocketAddrV4) -> FlowEnds {
        self.ports += 1;
        FlowEnds { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), self.ports), service }
    }

    fn syn(&mut self, ends: FlowEnds, copy: u32) -> CookieVerdict {
        let control = Control { opens: true, ..Control::default() };
        let segment = Segment { ends, control, seq: 100, ack: copy, data_len: 0, cookie: 0 };
        self.forwarder.on_segment(&segment, Instant::now())
    }

    /// Opens a new flow, and returns its endpoints, its target's token and its cookie.
    fn open(&mut self, service: SocketAddrV4) -> (FlowEnds, u64, Cookie) {
        let ends = self.ends(service);
        let (target, cookie) = forwarded(self.syn(ends, 0));
        (ends, target, cookie)
    }

    fn data(&mut self, ends: FlowEnds, seq: u32, ack: u32, cookie: Cookie) -> CookieVerdict {
        let control = Control { acknowledges: true, ..Control::default() };
        let segment = Segment { ends, control, seq, ack, data_len: 100, cookie };
        self.forwarder.on_segment(&segment, Instant::now())
    }

    /// Opens a flow whose caller sends data at once, which shows that the target has answered.
    fn open_answered(&mut self, service: SocketAddrV4) -> (FlowEnds, u64, Cookie) {
        let (ends, target, cookie) = self.open(service);
        self.data(ends, 101, 500, cookie);
        (ends, target, cookie)
    }

    /// Fails all health checks that are due, and returns their targets.
    fn fail_health_checks(&mut self) -> Vec<SmolStr> {
        let due = self.forwarder.tick(Instant::now());
        let targets: Vec<_> = due.into_iter().map(|check| check.target).collect();
        for target in &targets {
            self.forwarder.on_check(target, CheckOutcome::Silent, Instant::now());
        }
        targets
    }

    /// Retransmits the data of an answered flow and fails the health checks of its target, after
    /// which the target is down.
    async fn take_target_down_by_retransmission(&mut self, ends: FlowEnds, cookie: Cookie) {
        tokio::time::advance(RETRANSMISSION_TIMEOUT).await;
        self.data(ends, 101, 500, cookie);
        self.take_target_down().await;
    }

    /// Fails the health checks of a target with an unanswered opening twice, after which the target
    /// is down.
    async fn take_target_down(&mut self) {
        tokio::time::advance(HANDSHAKE_TIMEOUT).await;
        self.fail_health_checks();
        self.fail_health_checks();
    }
}

fn forwarded(verdict: CookieVerdict) -> (u64, Cookie) {
    match verdict {
        CookieVerdict::Forward { token, cookie, .. } => (token, cookie),
        other => panic!("expected the packet to be forwarded, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_new_flows_stay_at_home_in_turn() {
    let mut fixture = Fixture::with_six_targets();
    let mut counts = BTreeMap::new();
    for _ in 0..40 {
        *counts.entry(fixture.open_answered(FEEDS).1).or_insert(0) += 1;
        tokio::time::advance(Duration::from_secs(1)).await;
        fixture.forwarder.tick(Instant::now());
    }
    assert_eq!(counts, BTreeMap::from([(1, 10), (2, 10), (3, 10), (4, 10)]));
}

#[tokio::test(start_paused = true)]
async fn on_segment_full_home_spills_over() {
    let mut fixture = Fixture::with_six_targets();
    let targets: Vec<_> = (0..20).map(|_| fixture.open_answered(FEEDS).1).collect();
    assert!(targets[..8].iter().all(|target| *target <= 4), "targets of the flows: {targets:?}");
    assert!(targets.contains(&5) && targets.contains(&6), "targets of the flows: {targets:?}");
}

#[tokio::test(start_paused = true)]
async fn on_segment_open_flow_follows_its_cookie_at_any_instance() {
    let view = Arc::new(View::new(vec![member("x", "a"), member("y", "a")]));
    let (mut first, mut second) = (Fixture::new("x", &view), Fixture::new("y", &view));
    for number in 1..=4 {
        first.register(registration(number, "quaydesk", "a"));
        second.register(registration(5 - number, "quaydesk", "a"));
    }
    for _ in 0..20 {
        let (ends, target, cookie) = first.open(MOVES);
        assert_eq!(forwarded(second.data(ends, 101, 500, cookie)), (target, cookie));
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_copy_goes_to_another_target() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, first, _) = fixture.open(MOVES);
    tokio::time::advance(Duration::from_millis(200)).await;
    let (second, _) = forwarded(fixture.syn(ends, 1));
    tokio::time::advance(Duration::from_millis(400)).await;
    let (third, _) = forwarded(fixture.syn(ends, 2));
    assert!(first != second && second != third && first != third);
}

#[tokio::test(start_paused = true)]
async fn on_segment_copy_goes_to_another_target_when_all_are_suspected() {
    let mut fixture = Fixture::with_six_targets();
    for _ in 0..6 {
        fixture.open(MOVES);
        tokio::time::advance(HANDSHAKE_TIMEOUT).await;
        fixture.forwarder.tick(Instant::now());
    }
    let (ends, first, _) = fixture.open(MOVES);
    tokio::time::advance(Duration::from_millis(200)).await;
    let (second, _) = forwarded(fixture.syn(ends, 1));
    assert_ne!(first, second);
}

#[tokio::test(start_paused = true)]
async fn on_segment_silent_target_is_avoided_after_one_opening() {
    let mut fixture = Fixture::with_six_targets();
    let (_, unresponsive, _) = fixture.open(MOVES);
    tokio::time::advance(HANDSHAKE_TIMEOUT).await;
    fixture.forwarder.tick(Instant::now());
    for _ in 0..12 {
        assert_ne!(fixture.open_answered(MOVES).1, unresponsive);
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_lost_packet_costs_a_target_little() {
    let mut fixture = Fixture::with_six_targets();
    let (_, target, _) = fixture.open(MOVES);
    tokio::time::advance(HANDSHAKE_TIMEOUT).await;
    let due = fixture.forwarder.tick(Instant::now());
    assert_eq!(due.len(), 1);
    fixture.forwarder.on_check(&due[0].target, CheckOutcome::Healthy, Instant::now());
    assert!((0..8).any(|_| fixture.open_answered(MOVES).1 == target));
}

/// Replays the packets of an upload, which leave the caller in bursts and arrive out of order.
#[tokio::test(start_paused = true)]
async fn on_segment_reordered_upload_is_no_failure() {
    const BURST_SEGMENTS: u32 = 16;
    let mut fixture = Fixture::with_six_targets();
    let (ends, _, cookie) = fixture.open_answered(MOVES);
    for burst in 1..=3 {
        for position in 0..BURST_SEGMENTS {
            let shuffled = position * 7 % BURST_SEGMENTS;
            let seq = 101 + 100 * (burst * BURST_SEGMENTS + shuffled);
            fixture.data(ends, seq, 500, cookie);
        }
        tokio::time::advance(Duration::from_millis(8)).await;
        assert_eq!(fixture.forwarder.tick(Instant::now()), []);
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_retransmission_has_the_target_checked() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, _, cookie) = fixture.open_answered(MOVES);
    tokio::time::advance(RETRANSMISSION_TIMEOUT).await;
    fixture.data(ends, 101, 500, cookie);
    assert_eq!(fixture.forwarder.tick(Instant::now()).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn on_segment_healthy_but_silent_target_is_not_believed() {
    let mut fixture = Fixture::with_six_targets();
    for _ in 0..40 {
        let (ends, target, cookie) = fixture.open(MOVES);
        if target != 1 {
            fixture.data(ends, 101, 500, cookie);
        }
        tokio::time::advance(HANDSHAKE_TIMEOUT).await;
        for check in fixture.forwarder.tick(Instant::now()) {
            fixture.forwarder.on_check(&check.target, CheckOutcome::Healthy, Instant::now());
        }
    }
    let was_avoided = (0..8).all(|_| fixture.open_answered(MOVES).1 != 1);
    assert!(was_avoided);
    tokio::time::advance(SUSPICION_TIMEOUT).await;
    assert!((0..40).any(|_| fixture.open(MOVES).1 == 1));
}

#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_a_dead_target_is_reset_when_two_say_so() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    let name = format!("i-{target:04x}");
    fixture.take_target_down_by_retransmission(ends, cookie).await;
    assert!(matches!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Forward { .. }));
    let neighbour = member("y", "a");
    fixture.forwarder.on_condition(&neighbour, &name, TargetCondition::Down, Instant::now());
    assert_eq!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Reset(ResetReason::TargetDown));
}

/// Guards against callers that wait until their deadline because the only instance of their data
/// centre has no neighbour that could confirm what it found.
#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_a_dead_target_is_reset_when_a_third_data_centre_confirms() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    let name = format!("i-{target:04x}");
    fixture.take_target_down_by_retransmission(ends, cookie).await;
    let stranger = member("z", "c");
    fixture.forwarder.on_condition(&stranger, &name, TargetCondition::Down, Instant::now());
    assert_eq!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Reset(ResetReason::TargetDown));
}

/// Instances of two data centres that are both cut off from a third one confirm nothing about its
/// targets.
#[tokio::test(start_paused = true)]
async fn on_segment_flow_to_another_data_centre_is_kept_when_a_third_one_confirms() {
    let mut fixture = Fixture::new("x", &Arc::new(View::new(vec![member("x", "a")])));
    fixture.register(registration(1, "quaydesk", "b"));
    let (ends, _, cookie) = fixture.open_answered(FEEDS);
    fixture.take_target_down_by_retransmission(ends, cookie).await;
    let stranger = member("z", "c");
    fixture.forwarder.on_condition(&stranger, "i-0001", TargetCondition::Down, Instant::now());
    assert!(matches!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Forward { .. }));
}

/// Guards against callers that wait for a target until their deadline although its address has been
/// assigned to another target, which shows that it has ended.
#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_a_target_whose_address_was_reassigned_is_reset() {
    let mut fixture = Fixture::with_six_targets();
    let (feed, target, cookie) = fixture.open_answered(FEEDS);
    fixture.reassign_address(target, 2);

    let reset = CookieVerdict::Reset(ResetReason::TargetEnded);
    assert_eq!(fixture.data(feed, 201, 600, cookie), reset);
    let moves = fixture.ends(MOVES);
    assert_eq!(fixture.data(moves, 201, 600, cookie), reset);
    assert!((0..20).all(|_| fixture.open_answered(FEEDS).1 != target));
}

#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_an_ended_target_is_reset_although_its_data_centre_is_out() {
    let mut fixture = Fixture::with_six_targets();
    let (feed, target, cookie) = fixture.open_answered(FEEDS);
    fixture.reassign_address(target, 2);
    fixture.set_outage("a", true);
    tokio::time::advance(OUTAGE_BOUND).await;
    let reset = CookieVerdict::Reset(ResetReason::TargetEnded);
    assert_eq!(fixture.data(feed, 201, 600, cookie), reset);
}

/// A registration that arrives late must not end the target that has its address now.
#[tokio::test(start_paused = true)]
async fn on_segment_earlier_target_of_an_address_gets_no_flows() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    fixture.reassign_address(target, 0);

    assert_eq!(forwarded(fixture.data(ends, 201, 600, cookie)), (target, cookie));
    assert!((0..20).all(|_| fixture.open_answered(FEEDS).1 != 7));
}

/// A health check goes to an address, where another target may answer by now.
#[tokio::test(start_paused = true)]
async fn tick_target_whose_address_was_reassigned_is_not_checked() {
    let mut fixture = Fixture::with_six_targets();
    let (_, target, _) = fixture.open(FEEDS);
    fixture.reassign_address(target, 2);
    tokio::time::advance(HANDSHAKE_TIMEOUT).await;
    assert_eq!(fixture.forwarder.tick(Instant::now()), []);
}

/// Guards against callers of a crashed target that wait until their deadline once its registration
/// has expired, since it was no longer checked.
#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_a_dead_target_without_registration_is_reset_when_two_say_so() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    let gone = registration(u16::try_from(target).unwrap(), "quaydesk", "a");
    let name = gone.target.clone();
    fixture.register(Registration { state: RegistrationState::Gone, ..gone });
    fixture.take_target_down_by_retransmission(ends, cookie).await;
    fixture.forwarder.on_condition(&member("y", "a"), &name, TargetCondition::Down, Instant::now());
    assert_eq!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Reset(ResetReason::TargetDown));
}

#[tokio::test(start_paused = true)]
async fn tick_dead_target_without_registration_is_checked_a_few_times_only() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    let gone = registration(u16::try_from(target).unwrap(), "quaydesk", "a");
    fixture.register(Registration { state: RegistrationState::Gone, ..gone });
    tokio::time::advance(RETRANSMISSION_TIMEOUT).await;
    fixture.data(ends, 101, 500, cookie);
    let mut checks = 0;
    for _ in 0..100 {
        checks += fixture.fail_health_checks().len();
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert_eq!(checks, MAX_CHECKS_WITHOUT_NEW_FLOWS as usize);
}

#[tokio::test(start_paused = true)]
async fn on_segment_flow_that_may_not_be_repeated_is_not_reset() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(MOVES);
    let name = format!("i-{target:04x}");
    fixture.take_target_down_by_retransmission(ends, cookie).await;
    fixture.forwarder.on_condition(&member("y", "a"), &name, TargetCondition::Down, Instant::now());
    assert!(matches!(fixture.data(ends, 101, 500, cookie), CookieVerdict::Forward { .. }));
}

#[tokio::test(start_paused = true)]
async fn on_condition_of_strangers_changes_nothing() {
    let mut fixture = Fixture::with_six_targets();
    for number in 1..=4 {
        let name = format!("i-{number:04x}");
        fixture.forwarder.on_condition(
            &member("z", "c"),
            &name,
            TargetCondition::Down,
            Instant::now(),
        );
    }
    assert!(fixture.open(FEEDS).1 <= 4);
}

#[tokio::test(start_paused = true)]
async fn reaches_any_target_all_targets_down_is_false_until_one_answers() {
    let mut fixture = Fixture::with_six_targets();
    for _ in 0..6 {
        fixture.open(MOVES);
        fixture.take_target_down().await;
    }
    assert!(!fixture.forwarder.reaches_any_target());
    let ends = fixture.ends(MOVES);
    assert_eq!(fixture.syn(ends, 0), CookieVerdict::Reset(ResetReason::NoTarget));
    fixture.forwarder.on_check("i-0003", CheckOutcome::Healthy, Instant::now());
    assert!(fixture.forwarder.reaches_any_target());
}

#[tokio::test(start_paused = true)]
async fn on_segment_forged_cookies_reach_no_other_service() {
    let mut fixture = Fixture::with_six_targets();
    fixture.register(registration(9, "rosterbook", "a"));
    let (_, _, foreign) = fixture.open(ROSTERS);
    let ends = fixture.ends(FEEDS);
    assert_eq!(fixture.data(ends, 1, 1, foreign), CookieVerdict::Drop(DropReason::ForeignCookie));
    assert_eq!(fixture.data(ends, 1, 1, 0), CookieVerdict::Drop(DropReason::NoCookie));
    let mut forged = 1_u32;
    for _ in 0..10_000 {
        forged = forged.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        if let CookieVerdict::Forward { token, .. } = fixture.data(ends, 1, 1, forged) {
            assert!(token <= 6, "a forged cookie reached a target of rosterbook");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_route_that_moved_keeps_its_open_flows() {
    let mut fixture = Fixture::with_six_targets();
    fixture.register(registration(9, "rosterbook", "a"));
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    fixture.set_routes(vec![route("feeds", FEEDS, "rosterbook", true)]);
    assert_eq!(forwarded(fixture.data(ends, 201, 600, cookie)).0, target);
    assert_eq!(fixture.open(FEEDS).1, 9);
}

#[tokio::test(start_paused = true)]
async fn on_segment_removed_route_resets_and_unknown_one_only_when_current() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, _, cookie) = fixture.open_answered(MOVES);
    fixture.set_routes(vec![route("feeds", FEEDS, "quaydesk", true)]);
    let removed = CookieVerdict::Reset(ResetReason::RouteRemoved);
    assert_eq!(fixture.data(ends, 201, 600, cookie), removed);
    let unknown = fixture.ends(ROSTERS);
    assert_eq!(fixture.syn(unknown, 0), CookieVerdict::Reset(ResetReason::NoRoute));
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_eq!(fixture.syn(unknown, 0), CookieVerdict::Drop(DropReason::RouteInDoubt));
}

#[tokio::test(start_paused = true)]
async fn on_segment_data_centre_out_gets_no_new_flow_and_soon_no_packet() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, _, cookie) = fixture.open_answered(FEEDS);
    fixture.set_outage("a", true);
    assert!((0..10).all(|_| fixture.open(FEEDS).1 > 4));
    assert!(matches!(fixture.data(ends, 201, 600, cookie), CookieVerdict::Forward { .. }));
    tokio::time::advance(OUTAGE_BOUND - OUTAGE_MARGIN).await;
    let dropped = CookieVerdict::Drop(DropReason::Outage);
    assert_eq!(fixture.data(ends, 301, 700, cookie), dropped);
    fixture.set_outage("a", false);
    assert!(matches!(fixture.data(ends, 301, 700, cookie), CookieVerdict::Forward { .. }));
}

#[tokio::test(start_paused = true)]
async fn on_segment_draining_target_keeps_flows_and_gets_no_new_ones() {
    let mut fixture = Fixture::with_six_targets();
    let (ends, target, cookie) = fixture.open_answered(FEEDS);
    let number = u16::try_from(target).unwrap();
    for state in [RegistrationState::Draining, RegistrationState::Gone] {
        fixture.register(Registration { state, ..registration(number, "quaydesk", "a") });
        assert_eq!(forwarded(fixture.data(ends, 201, 600, cookie)).0, target);
        assert!((0..10).all(|_| fixture.open(FEEDS).1 != target));
    }
}

/// Opens flows at eight instances for three seconds while the only target in their data centre is
/// cold. Returns the largest number of flows that the cold target got within one second.
async fn max_cold_flows_per_second(view_of_instance: impl Fn(usize) -> Arc<View>) -> usize {
    let mut fixtures: Vec<_> =
        (0..8).map(|n| Fixture::new(&format!("x{n}"), &view_of_instance(n))).collect();
    for fixture in &mut fixtures {
        fixture.register(Registration {
            cold_left: Duration::from_secs(3),
            ..registration(1, "quaydesk", "a")
        });
        fixture.register(registration(2, "quaydesk", "b"));
    }
    let mut sent = Vec::new();
    for _ in 0..300 {
        tokio::time::advance(Duration::from_millis(10)).await;
        for fixture in &mut fixtures {
            if fixture.open_answered(FEEDS).1 == 1 {
                sent.push(Instant::now());
            }
        }
    }
    let in_second = |from: &Instant| {
        sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

#[tokio::test(start_paused = true)]
async fn on_segment_cold_target_is_not_crushed_by_all_instances() {
    let all: Vec<_> = (0..8).map(|n| member(&format!("x{n}"), "a")).collect();
    let view = Arc::new(View::new(all));
    let max_per_second = max_cold_flows_per_second(|_| Arc::clone(&view)).await;
    assert!(
        (1..=COLD_SLACK as usize).contains(&max_per_second),
        "the cold target got {max_per_second} flows in a second"
    );
}

#[tokio::test(start_paused = true)]
async fn on_segment_cold_target_is_not_crushed_under_two_views() {
    let half = |from: usize| {
        let members = (from..from + 4).map(|n| member(&format!("x{n}"), "a")).collect();
        Arc::new(View::new(members))
    };
    let views = [half(0), half(4)];
    let max_per_second = max_cold_flows_per_second(|n| Arc::clone(&views[n / 4])).await;
    assert!(
        (1..=COLD_SLACK as usize).contains(&max_per_second),
        "the cold target got {max_per_second} flows in a second"
    );
}

#[tokio::test(start_paused = true)]
async fn on_segment_target_that_came_back_counts_as_cold() {
    let view = Arc::new(View::new(vec![member("x", "a")]));
    let mut fixture = Fixture::new("x", &view);
    fixture.register(registration(1, "quaydesk", "a"));
    fixture.register(registration(2, "quaydesk", "b"));
    fixture.open(FEEDS);
    fixture.take_target_down().await;
    fixture.forwarder.on_check("i-0001", CheckOutcome::Healthy, Instant::now());
    let sent = (0..50).filter(|_| fixture.open_answered(FEEDS).1 == 1).count();
    assert!(sent <= COLD_SLACK as usize, "the recovered target got {sent} flows at once");
}

#[tokio::test(start_paused = true)]
async fn on_segment_restart_under_the_same_name_is_a_fresh_target() {
    let mut fixture = Fixture::with_six_targets();
    fixture.open(MOVES);
    fixture.take_target_down().await;
    fixture.register(Registration { started: 2, ..registration(1, "quaydesk", "a") });
    assert!((0..8).any(|_| fixture.open_answered(MOVES).1 == 1));
}

#[tokio::test(start_paused = true)]
async fn timings_of_a_flow_tell_its_opening_and_its_answer() {
    let mut fixture = Fixture::with_six_targets();
    let ends = fixture.ends(FEEDS);
    fixture.syn(ends, 0);
    tokio::time::advance(Duration::from_millis(200)).await;
    let (_, cookie) = forwarded(fixture.syn(ends, 1));
    tokio::time::advance(Duration::from_millis(10)).await;
    fixture.data(ends, 101, 500, cookie);
    assert_eq!(fixture.forwarder.take_timings(), [FlowTiming::Opened(Duration::from_millis(210))]);

    tokio::time::advance(Duration::from_millis(30)).await;
    fixture.data(ends, 101, 500, cookie);
    assert!(
        fixture.forwarder.take_timings().is_empty(),
        "retransmitted data must not count as an answer"
    );
    fixture.data(ends, 201, 4_500, cookie);
    assert_eq!(fixture.forwarder.take_timings(), [FlowTiming::Answered(Duration::from_millis(30))]);
}

/// Callers acknowledge a short answer only with the packet that ends the flow.
#[tokio::test(start_paused = true)]
async fn on_segment_end_of_flow_times_the_last_answer() {
    for (ack, answer) in
        [(4_500, Some(FlowTiming::Answered(Duration::from_millis(30)))), (500, None)]
    {
        let mut fixture = Fixture::with_six_targets();
        let (ends, _, cookie) = fixture.open_answered(MOVES);
        fixture.forwarder.take_timings();
        tokio::time::advance(Duration::from_millis(30)).await;
        let control = Control { acknowledges: true, ends: true, ..Control::default() };
        let segment = Segment { ends, control, seq: 201, ack, data_len: 0, cookie };
        fixture.forwarder.on_segment(&segment, Instant::now());
        assert_eq!(fixture.forwarder.take_timings(), Vec::from_iter(answer));
    }
}
