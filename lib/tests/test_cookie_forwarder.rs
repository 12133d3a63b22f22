//! Decisions of the flow door with cookies, each under the load that it answers.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_share::ColdBound;
use hollyhead::cookie_forwarder::{
    CookieForwarder, CookieForwarderSetup, CookieVerdict, DropReason, FlowTiming, ResetReason,
    OUTAGE_MARGIN,
};
use hollyhead::directory::Directory;
use hollyhead::directory_message::TargetCondition;
use hollyhead::health_check::CheckOutcome;
use hollyhead::ids::Cookie;
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Registration, RegistrationState, Route,
    RoutedService, Routing, ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use hollyhead::silence::{ANSWER_TIME, SUSPICION};
use hollyhead::view::{Member, MemberState, View};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const MOVES: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const ROSTERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);
const OUTAGE_BOUND: Duration = Duration::from_secs(5);
const COLD_SLACK: u32 = 5;

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
    }
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

/// A door with a directory that tests change.
struct Bed {
    forwarder: CookieForwarder,
    directory: Directory,
    version: u64,
    ports: u16,
}

impl Bed {
    fn new(id: &str, view: &Arc<View>) -> Self {
        let setup = CookieForwarderSetup {
            id: id.into(),
            data_centre: "a".into(),
            flow_key: [7; 16],
            cold: ColdBound { multiplier: 1.5, slack: COLD_SLACK },
            outage_bound: OUTAGE_BOUND,
        };
        let mut bed = Self {
            forwarder: CookieForwarder::new(setup),
            directory: Directory::default(),
            version: 0,
            ports: 1_000,
        };
        bed.forwarder.set_view(Arc::clone(view));
        bed.set_routes(vec![
            route("feeds", FEEDS, "quaydesk", true),
            route("moves", MOVES, "quaydesk", false),
            route("rosters", ROSTERS, "rosterbook", true),
        ]);
        bed
    }

    /// A door of the only instance, with four targets at home and two elsewhere.
    fn of_six() -> Self {
        let mut bed = Self::new("x", &Arc::new(View::new(vec![member("x", "a")])));
        for number in 1..=6 {
            let data_centre = if number <= 4 { "a" } else { "b" };
            bed.register(registration(number, "quaydesk", data_centre));
        }
        bed
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
        self.put(Part::Routing, records);
        self.forwarder.set_routing_confirmed(Some(Instant::now()));
    }

    fn register(&mut self, registration: Registration) {
        let name = registration.target.clone();
        self.put_one(Part::Targets, name, Some(RecordBody::Registration(registration)));
    }

    fn set_out(&mut self, data_centre: &str, is_out: bool) {
        self.put_one(Part::Outages, data_centre.into(), is_out.then_some(RecordBody::Outage));
    }

    fn put_one(&mut self, part: Part, name: SmolStr, body: Option<RecordBody>) {
        self.version += 1;
        self.put(part, vec![DirectoryRecord { name, version: self.version, body }]);
    }

    fn put(&mut self, part: Part, records: Vec<DirectoryRecord>) {
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

    /// Opens a new flow and returns its ends, its target's number and its cookie.
    fn open(&mut self, service: SocketAddrV4) -> (FlowEnds, u64, Cookie) {
        let ends = self.ends(service);
        let (target, cookie) = placed(self.syn(ends, 0));
        (ends, target, cookie)
    }

    fn data(&mut self, ends: FlowEnds, seq: u32, ack: u32, cookie: Cookie) -> CookieVerdict {
        let control = Control { acknowledges: true, ..Control::default() };
        let segment = Segment { ends, control, seq, ack, data_len: 100, cookie };
        self.forwarder.on_segment(&segment, Instant::now())
    }

    /// Opens a flow whose caller answers the target at once.
    fn open_answered(&mut self, service: SocketAddrV4) -> (FlowEnds, u64, Cookie) {
        let (ends, target, cookie) = self.open(service);
        self.data(ends, 101, 500, cookie);
        (ends, target, cookie)
    }

    /// Fails the checks that are due, and returns their targets.
    fn fail_checks(&mut self) -> Vec<SmolStr> {
        let due = self.forwarder.tick(Instant::now());
        let targets: Vec<_> = due.into_iter().map(|check| check.target).collect();
        for target in &targets {
            self.forwarder.on_check(target, CheckOutcome::Silent, Instant::now());
        }
        targets
    }

    /// Lets the target of an unanswered opening fail its checks until it is down by them.
    async fn take_down(&mut self) {
        tokio::time::advance(ANSWER_TIME).await;
        self.fail_checks();
        self.fail_checks();
    }
}

fn placed(verdict: CookieVerdict) -> (u64, Cookie) {
    match verdict {
        CookieVerdict::Forward { token, cookie, .. } => (token, cookie),
        other => panic!("not forwarded: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_new_flows_stay_at_home_in_turn() {
    let mut bed = Bed::of_six();
    let mut counts = BTreeMap::new();
    for _ in 0..40 {
        *counts.entry(bed.open_answered(FEEDS).1).or_insert(0) += 1;
        tokio::time::advance(Duration::from_secs(1)).await;
        bed.forwarder.tick(Instant::now());
    }
    assert_eq!(counts, BTreeMap::from([(1, 10), (2, 10), (3, 10), (4, 10)]));
}

#[tokio::test(start_paused = true)]
async fn on_segment_full_home_spills_over() {
    let mut bed = Bed::of_six();
    let targets: Vec<_> = (0..20).map(|_| bed.open_answered(FEEDS).1).collect();
    assert!(targets[..8].iter().all(|target| *target <= 4), "{targets:?}");
    assert!(targets.contains(&5) && targets.contains(&6), "{targets:?}");
}

#[tokio::test(start_paused = true)]
async fn on_segment_open_flow_follows_its_cookie_at_any_instance() {
    let view = Arc::new(View::new(vec![member("x", "a"), member("y", "a")]));
    let (mut first, mut second) = (Bed::new("x", &view), Bed::new("y", &view));
    for number in 1..=4 {
        first.register(registration(number, "quaydesk", "a"));
        second.register(registration(5 - number, "quaydesk", "a"));
    }
    for _ in 0..20 {
        let (ends, target, cookie) = first.open(MOVES);
        assert_eq!(placed(second.data(ends, 101, 500, cookie)), (target, cookie));
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_copy_goes_to_another_target() {
    let mut bed = Bed::of_six();
    let (ends, first, _) = bed.open(MOVES);
    tokio::time::advance(Duration::from_millis(200)).await;
    let (second, _) = placed(bed.syn(ends, 1));
    tokio::time::advance(Duration::from_millis(400)).await;
    let (third, _) = placed(bed.syn(ends, 2));
    assert!(first != second && second != third && first != third);
}

#[tokio::test(start_paused = true)]
async fn on_segment_silent_target_is_avoided_after_one_opening() {
    let mut bed = Bed::of_six();
    let (_, silent, _) = bed.open(MOVES);
    tokio::time::advance(ANSWER_TIME).await;
    bed.forwarder.tick(Instant::now());
    for _ in 0..12 {
        assert_ne!(bed.open_answered(MOVES).1, silent);
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_lost_packet_costs_a_target_little() {
    let mut bed = Bed::of_six();
    let (_, target, _) = bed.open(MOVES);
    tokio::time::advance(ANSWER_TIME).await;
    let due = bed.forwarder.tick(Instant::now());
    assert_eq!(due.len(), 1);
    bed.forwarder.on_check(&due[0].target, CheckOutcome::Healthy, Instant::now());
    assert!((0..8).any(|_| bed.open_answered(MOVES).1 == target));
}

#[tokio::test(start_paused = true)]
async fn on_segment_healthy_but_silent_target_is_not_believed() {
    let mut bed = Bed::of_six();
    for _ in 0..40 {
        let (ends, target, cookie) = bed.open(MOVES);
        if target != 1 {
            bed.data(ends, 101, 500, cookie);
        }
        tokio::time::advance(ANSWER_TIME).await;
        for check in bed.forwarder.tick(Instant::now()) {
            bed.forwarder.on_check(&check.target, CheckOutcome::Healthy, Instant::now());
        }
    }
    let was_avoided = (0..8).all(|_| bed.open_answered(MOVES).1 != 1);
    assert!(was_avoided);
    tokio::time::advance(SUSPICION).await;
    assert!((0..40).any(|_| bed.open(MOVES).1 == 1));
}

#[tokio::test(start_paused = true)]
async fn on_segment_flow_of_a_dead_target_is_reset_when_two_say_so() {
    let mut bed = Bed::of_six();
    let (ends, target, cookie) = bed.open_answered(FEEDS);
    let name = format!("i-{target:04x}");
    bed.data(ends, 101, 500, cookie);
    bed.take_down().await;
    assert!(matches!(bed.data(ends, 101, 500, cookie), CookieVerdict::Forward { .. }));
    let neighbour = member("y", "a");
    bed.forwarder.on_condition(&neighbour, &name, TargetCondition::Down, Instant::now());
    assert_eq!(bed.data(ends, 101, 500, cookie), CookieVerdict::Reset(ResetReason::TargetDown));
}

#[tokio::test(start_paused = true)]
async fn on_segment_flow_that_may_not_be_repeated_is_not_reset() {
    let mut bed = Bed::of_six();
    let (ends, target, cookie) = bed.open_answered(MOVES);
    let name = format!("i-{target:04x}");
    bed.data(ends, 101, 500, cookie);
    bed.take_down().await;
    bed.forwarder.on_condition(&member("y", "a"), &name, TargetCondition::Down, Instant::now());
    assert!(matches!(bed.data(ends, 101, 500, cookie), CookieVerdict::Forward { .. }));
}

#[tokio::test(start_paused = true)]
async fn on_condition_of_strangers_changes_nothing() {
    let mut bed = Bed::of_six();
    for number in 1..=4 {
        let name = format!("i-{number:04x}");
        bed.forwarder.on_condition(&member("z", "c"), &name, TargetCondition::Down, Instant::now());
    }
    assert!(bed.open(FEEDS).1 <= 4);
}

#[tokio::test(start_paused = true)]
async fn reaches_any_target_all_targets_down_is_false_until_one_answers() {
    let mut bed = Bed::of_six();
    for _ in 0..6 {
        bed.open(MOVES);
        bed.take_down().await;
    }
    assert!(!bed.forwarder.reaches_any_target());
    let ends = bed.ends(MOVES);
    assert_eq!(bed.syn(ends, 0), CookieVerdict::Reset(ResetReason::NoTarget));
    bed.forwarder.on_check("i-0003", CheckOutcome::Healthy, Instant::now());
    assert!(bed.forwarder.reaches_any_target());
}

#[tokio::test(start_paused = true)]
async fn on_segment_forged_cookies_reach_no_other_service() {
    let mut bed = Bed::of_six();
    bed.register(registration(9, "rosterbook", "a"));
    let (_, _, foreign) = bed.open(ROSTERS);
    let ends = bed.ends(FEEDS);
    assert_eq!(bed.data(ends, 1, 1, foreign), CookieVerdict::Drop(DropReason::ForeignCookie));
    assert_eq!(bed.data(ends, 1, 1, 0), CookieVerdict::Drop(DropReason::NoCookie));
    let mut forged = 1_u32;
    for _ in 0..10_000 {
        forged = forged.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        if let CookieVerdict::Forward { token, .. } = bed.data(ends, 1, 1, forged) {
            assert!(token <= 6, "reached rosterbook");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn on_segment_route_that_moved_keeps_its_open_flows() {
    let mut bed = Bed::of_six();
    bed.register(registration(9, "rosterbook", "a"));
    let (ends, target, cookie) = bed.open_answered(FEEDS);
    bed.set_routes(vec![route("feeds", FEEDS, "rosterbook", true)]);
    assert_eq!(placed(bed.data(ends, 201, 600, cookie)).0, target);
    assert_eq!(bed.open(FEEDS).1, 9);
}

#[tokio::test(start_paused = true)]
async fn on_segment_removed_route_resets_and_unknown_one_only_when_current() {
    let mut bed = Bed::of_six();
    let (ends, _, cookie) = bed.open_answered(MOVES);
    bed.set_routes(vec![route("feeds", FEEDS, "quaydesk", true)]);
    let removed = CookieVerdict::Reset(ResetReason::RouteRemoved);
    assert_eq!(bed.data(ends, 201, 600, cookie), removed);
    let unknown = bed.ends(ROSTERS);
    assert_eq!(bed.syn(unknown, 0), CookieVerdict::Reset(ResetReason::NoRoute));
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_eq!(bed.syn(unknown, 0), CookieVerdict::Drop(DropReason::RouteInDoubt));
}

#[tokio::test(start_paused = true)]
async fn on_segment_data_centre_out_gets_no_new_flow_and_soon_no_packet() {
    let mut bed = Bed::of_six();
    let (ends, _, cookie) = bed.open_answered(FEEDS);
    bed.set_out("a", true);
    assert!((0..10).all(|_| bed.open(FEEDS).1 > 4));
    assert!(matches!(bed.data(ends, 201, 600, cookie), CookieVerdict::Forward { .. }));
    tokio::time::advance(OUTAGE_BOUND - OUTAGE_MARGIN).await;
    let dropped = CookieVerdict::Drop(DropReason::Outage);
    assert_eq!(bed.data(ends, 301, 700, cookie), dropped);
    bed.set_out("a", false);
    assert!(matches!(bed.data(ends, 301, 700, cookie), CookieVerdict::Forward { .. }));
}

#[tokio::test(start_paused = true)]
async fn on_segment_draining_target_keeps_flows_and_gets_no_new_ones() {
    let mut bed = Bed::of_six();
    let (ends, target, cookie) = bed.open_answered(FEEDS);
    let number = u16::try_from(target).unwrap();
    for state in [RegistrationState::Draining, RegistrationState::Gone] {
        bed.register(Registration { state, ..registration(number, "quaydesk", "a") });
        assert_eq!(placed(bed.data(ends, 201, 600, cookie)).0, target);
        assert!((0..10).all(|_| bed.open(FEEDS).1 != target));
    }
}

/// Sends openings to eight instances for three seconds while all home targets are cold.
async fn flood_cold_target(view_of: impl Fn(usize) -> Arc<View>) -> usize {
    let mut beds: Vec<_> = (0..8).map(|n| Bed::new(&format!("x{n}"), &view_of(n))).collect();
    for bed in &mut beds {
        bed.register(Registration {
            cold_left: Duration::from_secs(3),
            ..registration(1, "quaydesk", "a")
        });
        bed.register(registration(2, "quaydesk", "b"));
    }
    let mut sent = Vec::new();
    for _ in 0..300 {
        tokio::time::advance(Duration::from_millis(10)).await;
        for bed in &mut beds {
            if bed.open_answered(FEEDS).1 == 1 {
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
    let most = flood_cold_target(|_| Arc::clone(&view)).await;
    assert!((1..=COLD_SLACK as usize).contains(&most), "{most} flows in a second");
}

#[tokio::test(start_paused = true)]
async fn on_segment_cold_target_is_not_crushed_under_two_views() {
    let half = |from: usize| {
        let members = (from..from + 4).map(|n| member(&format!("x{n}"), "a")).collect();
        Arc::new(View::new(members))
    };
    let views = [half(0), half(4)];
    let most = flood_cold_target(|n| Arc::clone(&views[n / 4])).await;
    assert!((1..=COLD_SLACK as usize).contains(&most), "{most} flows in a second");
}

#[tokio::test(start_paused = true)]
async fn on_segment_target_that_came_back_counts_as_cold() {
    let view = Arc::new(View::new(vec![member("x", "a")]));
    let mut bed = Bed::new("x", &view);
    bed.register(registration(1, "quaydesk", "a"));
    bed.register(registration(2, "quaydesk", "b"));
    bed.open(FEEDS);
    bed.take_down().await;
    bed.forwarder.on_check("i-0001", CheckOutcome::Healthy, Instant::now());
    let sent = (0..50).filter(|_| bed.open_answered(FEEDS).1 == 1).count();
    assert!(sent <= COLD_SLACK as usize, "{sent} flows at once");
}

#[tokio::test(start_paused = true)]
async fn on_segment_restart_under_the_same_name_is_a_fresh_target() {
    let mut bed = Bed::of_six();
    bed.open(MOVES);
    bed.take_down().await;
    bed.register(Registration { started: 2, ..registration(1, "quaydesk", "a") });
    assert!((0..8).any(|_| bed.open_answered(MOVES).1 == 1));
}

#[tokio::test(start_paused = true)]
async fn timings_of_a_flow_tell_its_opening_and_its_answer() {
    let mut bed = Bed::of_six();
    let ends = bed.ends(FEEDS);
    bed.syn(ends, 0);
    tokio::time::advance(Duration::from_millis(200)).await;
    let (_, cookie) = placed(bed.syn(ends, 1));
    tokio::time::advance(Duration::from_millis(10)).await;
    bed.data(ends, 101, 500, cookie);
    assert_eq!(bed.forwarder.take_timings(), [FlowTiming::Opened(Duration::from_millis(210))]);

    tokio::time::advance(Duration::from_millis(30)).await;
    bed.data(ends, 101, 500, cookie);
    assert!(bed.forwarder.take_timings().is_empty(), "data that is sent again is no answer");
    bed.data(ends, 201, 4_500, cookie);
    assert_eq!(bed.forwarder.take_timings(), [FlowTiming::Answered(Duration::from_millis(30))]);
}
