//! Callers that wait for a target are reset once it has ended for certain, and only then.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_entry::TICK;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::{CookieVerdict, ResetReason};
use hollyhead::directory::Directory;
use hollyhead::directory_message::TargetCondition;
use hollyhead::ended_target::{EndCause, EndedTarget, RESTART_DOUBT};
use hollyhead::flow_tracker::IDLE_TIMEOUT;
use hollyhead::health_check::CheckOutcome;
use hollyhead::ids::Cookie;
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Registration, RegistrationState, Route, Routing,
    ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment, SegmentFormat};
use hollyhead::view::{Member, MemberState, View};
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::{ready_registration, CookieFleet};
use testutils::json_segment::{encode, opening, JsonFormat};
use testutils::memory_platform::MemoryPlatform;
use tokio::time::Instant;

const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
/// Service whose requests may run once only.
const MOVES: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const TARGET: &str = "target-1";
/// Last acknowledgement of the callers.
const ACK: u32 = 500;
/// Time after which a target that came back no longer counts as cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time that a request has been running at its target when the failure happens.
const RUNNING_TIME: Duration = Duration::from_millis(700);

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

fn routing() -> Routing {
    let route = |address: SocketAddrV4, is_idempotent| Route {
        name: address.to_string().into(),
        address,
        services: vec![ServiceShare { service: "mailroom".into(), weight: 1 }],
        precedence: 1,
        is_idempotent,
        timeout: Duration::from_secs(4),
        aim: Duration::ZERO,
    };
    let routes = vec![route(FEEDS, true), route(MOVES, false)];
    let limits = FlowLimits { idle_timeout: Duration::from_secs(15) };
    Routing { version: 1, routes, services: Vec::new(), limits }
}

/// Returns the registration of a target in the forwarder's data centre.
fn target(number: usize) -> Registration {
    Registration { data_centre: "a".into(), ..ready_registration(number) }
}

fn ends(caller: u16, service: SocketAddrV4) -> FlowEnds {
    FlowEnds { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 1_000 + caller), service }
}

fn request(ends: FlowEnds, cookie: Cookie) -> Segment {
    let control = Control { acknowledges: true, ..Control::default() };
    Segment { ends, control, seq: 101, ack: ACK, data_len: 100, cookie }
}

/// Forwarder of instance `x` in data centre `a` with one target, there or in data centre `b`.
struct Fixture {
    forwarder: CookieForwarder,
    directory: Directory,
    version: u64,
    callers: u16,
}

impl Fixture {
    fn new(target_data_centre: &str) -> Self {
        let setup = CookieForwarderSetup {
            id: "x".into(),
            data_centre: "a".into(),
            flow_key: [7; 16],
            cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
            outage_bound: Duration::from_secs(5),
        };
        let (forwarder, directory) = (CookieForwarder::new(setup), Directory::default());
        let mut fixture = Self { forwarder, directory, version: 0, callers: 0 };
        fixture.forwarder.set_view(Arc::new(View::new(vec![member("x", "a"), member("y", "a")])));
        for (name, body) in routing().into_records() {
            fixture.put(Part::Routing, &name, body);
        }
        let data_centre = target_data_centre.into();
        fixture.register(Registration { data_centre, ..ready_registration(1) });
        fixture
    }

    fn put(&mut self, part: Part, name: &str, body: RecordBody) {
        self.version += 1;
        let record = DirectoryRecord { name: name.into(), version: self.version, body: Some(body) };
        self.directory.merge(part, vec![record], Instant::now());
        self.directory.confirm(part, self.version, Instant::now());
        self.forwarder.update(&self.directory, part, Instant::now());
    }

    fn register(&mut self, registration: Registration) {
        let name = registration.target.clone();
        self.put(Part::Targets, &name, RecordBody::Registration(registration));
    }

    /// Opens a flow and sends a whole request, after which its caller waits.
    fn send_request(&mut self, service: SocketAddrV4) -> (FlowEnds, Cookie) {
        self.callers += 1;
        let ends = ends(self.callers, service);
        (ends, self.send_request_of(ends))
    }

    fn send_request_of(&mut self, ends: FlowEnds) -> Cookie {
        let verdict = self.forwarder.on_segment(&opening(ends, 0), Instant::now());
        let CookieVerdict::Forward { cookie, .. } = verdict else {
            panic!("not opened: {verdict:?}")
        };
        self.forwarder.on_segment(&request(ends, cookie), Instant::now());
        cookie
    }

    /// Lets the clock advance by a tick and returns the flows that are reset.
    async fn tick(&mut self) -> Vec<FlowEnds> {
        tokio::time::advance(TICK).await;
        self.forwarder.tick(Instant::now());
        let due = self.forwarder.take_due_resets(Instant::now());
        assert!(due.iter().all(|segment| segment.ack == ACK));
        due.iter().map(|segment| segment.ends).collect()
    }

    async fn check(&mut self, outcome: CheckOutcome, times: u32) {
        for _ in 0..times {
            self.tick().await;
            self.forwarder.on_check(TARGET, outcome, Instant::now());
        }
    }

    fn report_down(&mut self, from: &str, data_centre: &str) {
        let from = member(from, data_centre);
        self.forwarder.on_condition(&from, TARGET, TargetCondition::Down, Instant::now());
    }

    /// Reports the target down on behalf of an instance whose checks were refused.
    fn report_refused(&mut self, from: &str, data_centre: &str) {
        self.report_down(from, data_centre);
        self.forwarder.on_refused(&member(from, data_centre), TARGET, Instant::now());
    }

    /// Refuses two checks of this instance, and has its neighbour report the target down.
    async fn refuse_everywhere(&mut self) {
        self.check(CheckOutcome::Refused, 2).await;
        self.report_refused("y", "a");
    }
}

/// Load: a target is killed while requests run, and its address goes to another service within 2 s.
#[tokio::test(start_paused = true)]
async fn end_cause_address_reassigned_resets_what_can_be_repeated() {
    let mut fixture = Fixture::new("a");
    let (feed, _) = fixture.send_request(FEEDS);
    fixture.send_request(MOVES);
    tokio::time::advance(RUNNING_TIME).await;
    let address = target(1).address;
    let service = "ledger".into();
    fixture.register(Registration { address, service, started: 2, ..target(2) });
    assert_eq!(fixture.tick().await, [feed]);
    let cause = EndCause::AddressReassigned;
    let ended = EndedTarget { target: TARGET.into(), cause, resets: 1, kept: 1 };
    assert_eq!(fixture.forwarder.take_ended(), [ended]);
    assert!(fixture.tick().await.is_empty(), "a flow was reset twice");
}

/// Load: a target is killed while requests run, comes back and is killed again.
#[tokio::test(start_paused = true)]
async fn end_cause_connection_refused_resets_the_flows_of_each_run() {
    let mut fixture = Fixture::new("a");
    for _ in 0..2 {
        let (feed, _) = fixture.send_request(FEEDS);
        tokio::time::advance(RUNNING_TIME).await;
        fixture.refuse_everywhere().await;
        assert_eq!(fixture.tick().await, [feed]);
        fixture.check(CheckOutcome::Healthy, 1).await;
        tokio::time::advance(COLD_TIME).await;
    }
}

/// Load: a target starts again under its name, and gets flows before its new registration arrives:
/// at once, after 5 s without the store, or after 5 s by a clock that is 5 s behind.
#[tokio::test(start_paused = true)]
async fn end_cause_restarted_resets_only_flows_from_before() {
    const DELAY: Duration = Duration::from_secs(5);
    let now_ms = 1_000_000;
    for (confirmed_before, started_before) in
        [(Duration::ZERO, Duration::ZERO), (DELAY, Duration::ZERO), (Duration::ZERO, DELAY)]
    {
        let mut fixture = Fixture::new("a");
        let (before, _) = fixture.send_request(FEEDS);
        tokio::time::advance(RESTART_DOUBT).await;
        fixture.send_request(FEEDS);
        tokio::time::advance(confirmed_before.max(started_before) + RUNNING_TIME).await;
        let now = Instant::now();
        fixture.forwarder.set_targets_confirmed(Some(now - confirmed_before));
        fixture.forwarder.set_unix_time(now, Duration::from_millis(now_ms));
        let started = now_ms - started_before.as_millis() as u64;
        fixture.register(Registration { started, ..target(1) });
        assert_eq!(fixture.tick().await, [before]);
    }
}

/// Load: registrations lapse while the store is unavailable; the targets live.
#[tokio::test(start_paused = true)]
async fn end_cause_lapsed_registration_is_checked_and_no_end() {
    let mut fixture = Fixture::new("a");
    let (feed, _) = fixture.send_request(FEEDS);
    tokio::time::advance(RUNNING_TIME).await;
    fixture.register(Registration { state: RegistrationState::Gone, ..target(1) });
    assert_eq!(fixture.forwarder.tick(Instant::now()).len(), 1);
    fixture.forwarder.on_check(TARGET, CheckOutcome::Healthy, Instant::now());
    assert!(fixture.tick().await.is_empty());
    fixture.forwarder.tick(Instant::now());
    fixture.refuse_everywhere().await;
    assert_eq!(fixture.tick().await, [feed]);
    assert_eq!(fixture.forwarder.take_ended()[0].cause, EndCause::Unregistered);
}

/// Load: a target hangs, is overloaded, or breaks off its health checks, according to everyone.
#[tokio::test(start_paused = true)]
async fn end_cause_failure_without_refusal_is_no_end() {
    for outcome in [CheckOutcome::Silent, CheckOutcome::Aborted, CheckOutcome::Busy] {
        let mut fixture = Fixture::new("a");
        fixture.send_request(FEEDS);
        fixture.check(CheckOutcome::Refused, 1).await;
        fixture.check(outcome, 4).await;
        fixture.report_refused("y", "a");
        assert!(fixture.tick().await.is_empty(), "{outcome:?}");
    }
}

/// Load: an instance alone, or a whole data centre, is cut off so that connections are refused.
#[tokio::test(start_paused = true)]
async fn end_cause_refusal_needs_a_witness_beyond_the_cut() {
    let mut alone = Fixture::new("a");
    alone.send_request(FEEDS);
    alone.check(CheckOutcome::Refused, 4).await;
    assert!(alone.tick().await.is_empty());

    let mut cut_off = Fixture::new("b");
    let (feed, _) = cut_off.send_request(FEEDS);
    cut_off.refuse_everywhere().await;
    cut_off.report_refused("z", "c");
    assert!(cut_off.tick().await.is_empty());
    cut_off.report_refused("w", "b");
    assert_eq!(cut_off.tick().await, [feed]);
}

/// Load: a target hangs, and connections of one instance to it are refused by a fault on the way.
#[tokio::test(start_paused = true)]
async fn end_cause_witness_must_be_refused_too() {
    let mut fixture = Fixture::new("a");
    fixture.send_request(FEEDS);
    fixture.check(CheckOutcome::Refused, 2).await;
    fixture.report_down("y", "a");
    assert!(fixture.tick().await.is_empty());
}

/// Load: one of 300 instances reports a target down for which callers wait at all of them. If each
/// reported its own check, that would be 90,000 messages.
#[tokio::test(start_paused = true)]
async fn on_condition_check_for_waiting_callers_is_not_announced() {
    let mut fixture = Fixture::new("a");
    let members = ["x", "y", "v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8"];
    fixture.forwarder.set_view(Arc::new(View::new(members.map(|it| member(it, "a")).to_vec())));
    fixture.send_request(FEEDS);
    fixture.report_down("y", "a");
    assert_eq!(fixture.forwarder.tick(Instant::now()).len(), 1);
    fixture.check(CheckOutcome::Refused, 2).await;
    assert_eq!(fixture.forwarder.take_condition_changes(), []);
    assert!(fixture.forwarder.take_refusals().is_empty());
}

/// Load: the former target of an address leaves the store after its successor has registered; their
/// start times are unknown.
#[tokio::test(start_paused = true)]
async fn end_cause_registration_that_goes_takes_no_address() {
    let mut fixture = Fixture::new("a");
    let former = Registration { address: target(1).address, started: 0, ..target(2) };
    fixture.register(former.clone());
    fixture.register(Registration { started: 0, ..target(1) });
    fixture.send_request(FEEDS);
    fixture.register(Registration { state: RegistrationState::Gone, ..former });
    assert!(fixture.tick().await.is_empty());
}

/// Load: refusals are observed, but a caller shows that the target answers.
#[tokio::test(start_paused = true)]
async fn end_cause_progress_of_a_caller_outweighs_refusals() {
    let mut fixture = Fixture::new("a");
    fixture.send_request(FEEDS);
    let (other, cookie) = fixture.send_request(MOVES);
    fixture.check(CheckOutcome::Refused, 2).await;
    let answered = Segment { ack: ACK + 1, data_len: 0, ..request(other, cookie) };
    fixture.forwarder.on_segment(&answered, Instant::now());
    fixture.report_refused("y", "a");
    assert!(fixture.tick().await.is_empty());
}

/// Load: a target with 10,000 waiting callers ends. Sent at once, the resets would fill the link.
#[tokio::test(start_paused = true)]
async fn take_due_resets_of_10_000_flows_takes_a_second_oldest_first() {
    const FLOWS: usize = 10_000;
    let mut fixture = Fixture::new("a");
    let mut sent = Vec::new();
    while sent.len() < FLOWS {
        sent.push(fixture.send_request(FEEDS).0);
        tokio::time::advance(Duration::from_micros(10)).await;
    }
    let address = target(1).address;
    fixture.register(Registration { address, started: 2, ..target(2) });
    let (mut reset, mut max_per_tick, started_at) = (Vec::new(), 0, Instant::now());
    while reset.len() < FLOWS && started_at.elapsed() < 2 * IDLE_TIMEOUT {
        let due = fixture.tick().await;
        max_per_tick = max_per_tick.max(due.len());
        reset.extend(due);
    }
    assert!(started_at.elapsed() <= Duration::from_secs(1), "{:?}", started_at.elapsed());
    assert!(max_per_tick <= FLOWS / 20 + 1, "{max_per_tick} resets at once");
    assert_eq!(reset, sent);
}

/// Load: packets with the ends of a stranger's flow and the cookie of a target that then ends.
#[tokio::test(start_paused = true)]
async fn take_due_resets_forged_packets_reset_no_flow_of_a_stranger() {
    let mut fixture = Fixture::new("a");
    let (_, dying) = fixture.send_request(FEEDS);
    fixture.register(Registration { state: RegistrationState::Draining, ..target(1) });
    fixture.register(target(3));
    let (stranger, living) = fixture.send_request(FEEDS);
    assert_ne!(dying, living);
    for seq in [101, 201, 301] {
        let forged = Segment { seq, ack: ACK + seq, ..request(stranger, dying) };
        fixture.forwarder.on_segment(&forged, Instant::now());
    }
    let address = target(1).address;
    fixture.register(Registration { address, started: 2, ..target(2) });
    assert_eq!(fixture.tick().await, [ends(1, FEEDS)]);
    assert!(fixture.tick().await.is_empty());
}

/// Load: the target of a flow ends; its caller has an answer, closes the flow or reopens its ends
/// before the reset is due.
#[tokio::test(start_paused = true)]
async fn take_due_resets_flow_that_no_longer_waits_is_left_alone() {
    let mut fixture = Fixture::new("a");
    let flows: Vec<_> = (0..4).map(|_| fixture.send_request(FEEDS)).collect();
    fixture.refuse_everywhere().await;
    fixture.forwarder.tick(Instant::now());
    fixture.register(target(3));
    let (closed, cookie) = flows[0];
    let fin = Control { ends: true, ..Control::default() };
    let fin = Segment { control: fin, data_len: 0, ..request(closed, cookie) };
    fixture.forwarder.on_segment(&fin, Instant::now());
    fixture.forwarder.on_segment(&opening(flows[1].0, 0), Instant::now());
    fixture.send_request_of(flows[2].0);
    assert_eq!(fixture.tick().await, [flows[3].0]);
}

/// Load: a packet of a caller arrives after its flow was reset.
#[tokio::test(start_paused = true)]
async fn on_segment_after_the_reset_is_reset_again() {
    let mut fixture = Fixture::new("a");
    let (feed, cookie) = fixture.send_request(FEEDS);
    fixture.refuse_everywhere().await;
    assert_eq!(fixture.tick().await, [feed]);
    let verdict = fixture.forwarder.on_segment(&request(feed, cookie), Instant::now());
    assert_eq!(verdict, CookieVerdict::Reset(ResetReason::TargetDown));
}

/// Load: one of two targets is killed while each of two instances has requests of it.
#[tokio::test(start_paused = true)]
async fn tick_sends_resets_to_the_callers_of_the_ended_target_only() {
    const LINK: LinkLimits = LinkLimits { bytes_per_second: 125_000_000, queue_bytes: 12_500_000 };
    const START_TIME: Duration = Duration::from_secs(3);
    let platform = Arc::new(MemoryPlatform::default());
    let put = |kind: Part, name: &str, value| platform.force_put(kind.kind(), name, value);
    put(Part::Routing, "main", serde_json::to_value(routing()).unwrap());
    for number in [1, 2] {
        let registration = serde_json::to_value(ready_registration(number)).unwrap();
        put(Part::Targets, &format!("target-{number}"), registration);
    }
    let mut fleet = CookieFleet::restart(2, LINK, Arc::clone(&platform));
    fleet.run_for(START_TIME).await;
    for caller in 0..8 {
        fleet.inject(usize::from(caller) % 2, &encode(&opening(ends(caller, FEEDS), 0)));
    }
    fleet.run_for(TICK).await;
    let mut of_ended = Vec::new();
    for (_, to, datagram) in fleet.take_outbox() {
        // Datagrams to further seeds, which this fleet lacks, are no segments.
        let Ok(Segment { ends, cookie, .. }) = JsonFormat.decode(&datagram) else { continue };
        let index = usize::from(ends.caller.port() - 1_000) % 2;
        fleet.inject(index, &encode(&request(ends, cookie)));
        of_ended.extend((to == ready_registration(1).address).then_some(ends));
    }
    let address = ready_registration(1).address;
    let later = Registration { address, started: 2, ..ready_registration(3) };
    put(Part::Targets, "target-3", serde_json::to_value(later).unwrap());
    fleet.run_for(START_TIME).await;
    let received = fleet.take_outbox();
    let decoded = received.iter().filter_map(|(_, _, datagram)| JsonFormat.decode(datagram).ok());
    let resets = decoded.filter(|segment| segment.control.aborts && segment.ack == ACK);
    let mut reset: Vec<_> = resets.map(|segment| segment.ends).collect();
    reset.sort_unstable();
    of_ended.sort_unstable();
    assert!(!of_ended.is_empty() && of_ended.len() < 8);
    assert_eq!(reset, of_ended);
}
