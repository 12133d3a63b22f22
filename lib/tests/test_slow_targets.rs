//! Weights of targets that answer slowly, over the forwarders of a whole fleet. Callers, targets with
//! slots and queues, and the messages between instances are simulated in virtual time.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::CookieVerdict;
use hollyhead::directory::Directory;
use hollyhead::directory_message::{AnnouncedWeight, DirectoryMessage};
use hollyhead::message::{Frame, Message};
use hollyhead::random::{Random, SeededRandom};
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Registration, RegistrationState, Route,
    RoutedService, Routing, ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use hollyhead::slow_targets::{EVALUATION_INTERVAL, WEIGHT_VALIDITY};
use hollyhead::target_weight::{WeightChange, WeightClass};
use hollyhead::view::{Member, MemberState, View};
use smol_str::format_smolstr;
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::{ready_registration, CookieFleet};
use testutils::json_segment;
use testutils::memory_platform::MemoryPlatform;
use tokio::time::Instant;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const INSTANCES: usize = 86;
const TARGETS: usize = 120;
const SLOTS: usize = 2;
/// Requests that a target holds, running and queued, before it answers that it is full.
const MAX_HELD_REQUESTS: usize = 10;
const REQUESTS_PER_SECOND: f64 = 1_286.0;
/// Addresses of the routes, and the mean times that their requests take.
const ROUTES: [(SocketAddrV4, f64); 2] = [
    (SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443), 0.034),
    (SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443), 0.044),
];
const AIM: Duration = Duration::from_millis(500);
const ROUND_TRIP: Duration = Duration::from_millis(6);
const TICK: Duration = Duration::from_millis(30);
/// Share of requests that take [`TAIL_FACTOR`] times as long.
const TAIL_PERCENT: u64 = 3;
const TAIL_FACTOR: f64 = 7.0;
const SLOW_FACTOR: f64 = 4.0;
/// Size of the envelope around a message, with an instance name of 12 bytes.
const ENVELOPE_BYTES: usize = 47;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Request,
    Data { instance: usize, flow: Flow, work: Duration },
    Acknowledge { instance: usize, flow: Flow },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Flow {
    ends: FlowEnds,
    target: usize,
    cookie: u32,
}

struct Instance {
    forwarder: CookieForwarder,
    is_alive: bool,
    /// Time by which every second acknowledgement of its callers is late.
    extra_delay: Duration,
    sent_bytes: usize,
}

struct Fleet {
    start: Instant,
    now: Instant,
    random: SeededRandom,
    instances: Vec<Instance>,
    members: Vec<Member>,
    /// Times at which the held requests of each target end.
    held: Vec<Vec<Instant>>,
    slow: BTreeSet<usize>,
    /// Factor on the time of each target's requests.
    speeds: Vec<f64>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    requests_per_second: f64,
    sequence: u64,
    ports: u32,
    /// Time of each request from its data to its answer, with the time at which it was sent.
    times: Vec<(Duration, Duration)>,
    chosen: Vec<usize>,
    /// Changes of weights, with the time and the deciding instance.
    changes: Vec<(Duration, usize, WeightChange)>,
}

fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

fn member(number: usize) -> Member {
    let peer = SocketAddr::from(([10, 0, (number / 256) as u8, number as u8], 7_000));
    Member {
        id: format_smolstr!("front-{number:06}"),
        data_centre: data_centre(number).into(),
        peer,
        request: peer,
        epoch: 1,
        incarnation: 0,
        state: MemberState::Alive,
    }
}

fn routing(aim: Duration) -> Routing {
    let route = |(address, _): &(SocketAddrV4, f64)| Route {
        name: format_smolstr!("{address}"),
        address: *address,
        services: vec![ServiceShare { service: "index".into(), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(4),
        aim,
    };
    let service = RoutedService {
        name: "index".into(),
        health_path: "/".into(),
        cold_time: Duration::from_secs(2),
        cold_flows_per_second: 0,
    };
    Routing {
        version: 1,
        routes: ROUTES.iter().map(route).collect(),
        services: vec![service],
        limits: FlowLimits { idle_timeout: Duration::from_secs(12) },
    }
}

fn directory(targets: usize, aim: Duration, now: Instant) -> Directory {
    let registration = |number: usize| Registration {
        target: format_smolstr!("target-{number:03}"),
        token: number as u64,
        service: "index".into(),
        address: SocketAddr::from(([10, 128, 0, 1], 8_000 + number as u16)),
        data_centre: data_centre(number).into(),
        state: RegistrationState::Ready,
        slots: SLOTS as u32,
        cold_left: Duration::ZERO,
        started: 1,
    };
    let registrations = (0..targets).map(registration);
    let listed = registrations.map(|it| (it.target.clone(), 1, RecordBody::Registration(it)));
    let routing = routing(aim).into_records().into_iter().map(|(name, body)| (name, 1, body));
    let mut directory = Directory::default();
    for (part, listed) in [(Part::Routing, routing.collect()), (Part::Targets, listed.collect())] {
        let records = directory.differences(part, 1, listed);
        directory.merge(part, records, now);
        directory.confirm(part, 1, now);
    }
    directory
}

impl Fleet {
    fn new(instances: usize, targets: usize, aim: Duration) -> Self {
        let start = Instant::now();
        let directory = directory(targets, aim, start);
        let members: Vec<_> = (0..instances).map(member).collect();
        let new_instance = |member: &Member| {
            let mut forwarder = CookieForwarder::new(CookieForwarderSetup {
                id: member.id.clone(),
                data_centre: member.data_centre.clone(),
                flow_key: [7; 16],
                cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
                outage_bound: Duration::from_secs(5),
            });
            forwarder.update(&directory, Part::Routing, start);
            forwarder.update(&directory, Part::Targets, start);
            Instance { forwarder, is_alive: true, extra_delay: Duration::ZERO, sent_bytes: 0 }
        };
        let mut fleet = Self {
            start,
            now: start,
            random: SeededRandom::new(1),
            instances: members.iter().map(new_instance).collect(),
            members,
            held: vec![Vec::new(); targets],
            slow: BTreeSet::new(),
            speeds: vec![1.0; targets],
            events: BinaryHeap::new(),
            requests_per_second: REQUESTS_PER_SECOND * targets as f64 / TARGETS as f64,
            sequence: 0,
            ports: 0,
            times: Vec::new(),
            chosen: Vec::new(),
            changes: Vec::new(),
        };
        fleet.update_views();
        for instance in 0..instances {
            let phase = TICK * instance as u32 / instances as u32;
            fleet.schedule(phase, Event::Tick(instance));
        }
        fleet.schedule(Duration::ZERO, Event::Request);
        fleet
    }

    /// Creates the fleet in whose service some targets may turn slow.
    fn of_86() -> Self {
        Self::new(INSTANCES, TARGETS, AIM)
    }

    fn update_views(&mut self) {
        let alive = self.members.iter().zip(&self.instances).filter(|(_, it)| it.is_alive);
        let view = Arc::new(View::new(alive.map(|(member, _)| member.clone()).collect()));
        for instance in &mut self.instances {
            instance.forwarder.set_view(Arc::clone(&view));
        }
    }

    /// Makes `percent` of the targets slow.
    fn slow_down(&mut self, percent: usize) {
        let targets = self.held.len();
        self.slow = (0..targets).filter(|it| it * 37 % targets * 100 < percent * targets).collect();
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn run_until(&mut self, end: Duration) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at < self.start + end) {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            match event {
                Event::Tick(instance) => self.tick(instance),
                Event::Request => self.open_flow(),
                Event::Data { instance, flow, work } => self.send_data(instance, flow, work),
                Event::Acknowledge { instance, flow } => {
                    self.packet(instance, flow.ends, 201, 900, flow.cookie);
                }
            }
        }
    }

    fn packet(
        &mut self,
        instance: usize,
        ends: FlowEnds,
        seq: u32,
        ack: u32,
        cookie: u32,
    ) -> CookieVerdict {
        let control = Control { opens: seq == 100, acknowledges: seq > 100, ..Control::default() };
        let data_len = if seq == 101 { 100 } else { 0 };
        let segment = Segment { ends, control, seq, ack, data_len, cookie };
        self.instances[instance].forwarder.on_segment(&segment, self.now)
    }

    fn open_flow(&mut self) {
        let gap = -self.uniform().ln() / self.requests_per_second;
        self.schedule(Duration::from_secs_f64(gap), Event::Request);
        let alive: Vec<_> =
            (0..self.instances.len()).filter(|it| self.instances[*it].is_alive).collect();
        let instance = alive[self.random.below(alive.len() as u64) as usize];
        let (service, mean) = ROUTES[usize::from(self.random.below(9) < 2)];
        self.ports += 1;
        let (high, low) = ((self.ports >> 16) as u8, self.ports as u16);
        let ends =
            FlowEnds { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, high), low), service };
        let work = Duration::from_secs_f64(mean * self.work_factor());
        let verdict = self.packet(instance, ends, 100, 0, 0);
        let CookieVerdict::Forward { token, cookie, .. } = verdict else { panic!("{verdict:?}") };
        let flow = Flow { ends, target: token as usize, cookie };
        self.chosen.push(flow.target);
        self.schedule(ROUND_TRIP, Event::Data { instance, flow, work });
    }

    fn send_data(&mut self, instance: usize, flow: Flow, work: Duration) {
        self.packet(instance, flow.ends, 101, 500, flow.cookie);
        let factor = if self.slow.contains(&flow.target) { SLOW_FACTOR } else { 1.0 };
        let time = self.serve(flow.target, work.mul_f64(factor * self.speeds[flow.target]));
        self.times.push((self.now - self.start, time));
        let is_delayed = self.random.below(2) == 0;
        let extra = if is_delayed { self.instances[instance].extra_delay } else { Duration::ZERO };
        self.schedule(time + ROUND_TRIP + extra, Event::Acknowledge { instance, flow });
    }

    /// Returns the time after which a target answers a request that takes `work`.
    fn serve(&mut self, target: usize, work: Duration) -> Duration {
        let now = self.now;
        let held = &mut self.held[target];
        held.retain(|end| *end > now);
        if held.len() >= MAX_HELD_REQUESTS {
            return Duration::from_millis(1);
        }
        held.sort();
        let is_waiting = held.len() >= SLOTS;
        let start = if is_waiting { held[held.len() - SLOTS] } else { now };
        held.push(start + work);
        start + work - now
    }

    fn tick(&mut self, number: usize) {
        if !self.instances[number].is_alive {
            return;
        }
        self.schedule(TICK, Event::Tick(number));
        let forwarder = &mut self.instances[number].forwarder;
        forwarder.tick(self.now);
        let elapsed = self.now - self.start;
        let changes = forwarder.take_weight_changes().into_iter();
        self.changes.extend(changes.map(|change| (elapsed, number, change)));
        let from = self.members[number].clone();
        for sent in forwarder.take_weight_messages() {
            let frame = Frame::Control(Message::Directory(sent.message.clone()));
            let bytes = frame.encode().unwrap().len() + ENVELOPE_BYTES;
            self.instances[number].sent_bytes += bytes * sent.to.len();
            for to in &sent.to {
                let index = self.members.iter().position(|member| member.peer == *to).unwrap();
                let forwarder = &mut self.instances[index].forwarder;
                match &sent.message {
                    DirectoryMessage::AnswerReport { targets } => {
                        forwarder.on_answer_report(&from, targets, self.now);
                    }
                    DirectoryMessage::WeightReport { targets } => {
                        forwarder.on_weight_report(&from, targets, self.now);
                    }
                    other => panic!("unexpected message {other:?}"),
                }
            }
        }
    }

    fn uniform(&self) -> f64 {
        (self.random.next() >> 11) as f64 / (1_u64 << 53) as f64 + f64::MIN_POSITIVE
    }

    /// Returns the time of a request as a multiple of the mean, with a log-normal spread.
    fn work_factor(&self) -> f64 {
        let normal =
            (-2.0 * self.uniform().ln()).sqrt() * (std::f64::consts::TAU * self.uniform()).cos();
        let is_long = self.random.below(100) < TAIL_PERCENT;
        (0.5 * normal - 0.125).exp() * if is_long { TAIL_FACTOR } else { 1.0 }
    }

    /// Returns the targets whose weight is not full at an instance.
    fn lowered_at(&self, instance: usize) -> BTreeSet<usize> {
        let targets = self.instances[instance].forwarder.targets();
        let indices = targets.indices().map(|index| targets.get(index));
        let lowered = indices.filter(|entry| entry.weight() != WeightClass::Full);
        lowered.map(|entry| entry.registration.token as usize).collect()
    }

    /// Returns the targets whose weight is not full at the first three instances, each for the targets
    /// in its data centre.
    fn lowered_at_home(&self) -> BTreeSet<usize> {
        let homes = 0..DATA_CENTRES.len();
        let lowered = homes.flat_map(|home| {
            let is_local = move |target: &usize| data_centre(*target) == data_centre(home);
            self.lowered_at(home).into_iter().filter(is_local)
        });
        lowered.collect()
    }

    /// Returns the targets that were lowered from their full weight at any time.
    fn ever_lowered(&self) -> BTreeSet<usize> {
        let lowered = self.changes.iter().filter(|(_, _, change)| change.to > change.from);
        lowered.map(|(_, _, change)| change.target).collect()
    }

    /// Returns the mean and the 99th percentile of the times of requests sent from `from` on.
    fn times_since(&self, from: Duration) -> (Duration, Duration) {
        let times = self.times.iter().filter(|(at, _)| *at >= from).map(|(_, time)| *time);
        let mut times: Vec<_> = times.collect();
        times.sort();
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        (mean, times[times.len() * 99 / 100])
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// 12 % of 120 targets turn 4 times slower after 5 s and stay so. The baseline is the same load with
/// equal weights.
#[test]
fn tick_slow_targets_are_lowered_and_callers_wait_less() {
    let run = |aim| {
        let mut fleet = Fleet::new(INSTANCES, TARGETS, aim);
        fleet.run_until(seconds(5));
        fleet.slow_down(12);
        fleet.run_until(seconds(13));
        let lowered = fleet.lowered_at_home();
        fleet.run_until(seconds(30));
        (lowered, fleet)
    };
    let (lowered, fleet) = run(AIM);
    assert!(lowered.is_superset(&fleet.slow), "lowered {lowered:?}, slow {:?}", fleet.slow);
    let others = fleet.ever_lowered().difference(&fleet.slow).count();
    assert!(others * 100 <= TARGETS, "{others} others lowered");
    let (_, baseline) = run(Duration::ZERO);
    let (times, baseline) = (fleet.times_since(seconds(10)), baseline.times_since(seconds(10)));
    println!("mean and 99th percentile {times:?}, with equal weights {baseline:?}");
    assert!(times.0 * 4 <= baseline.0 * 3, "mean {:?}, baseline {:?}", times.0, baseline.0);
    assert!(times.1 * 3 <= baseline.1 * 2, "99th percentile {:?}, {:?}", times.1, baseline.1);
}

/// 12 % of the targets are slow for 12 s and then as before.
#[test]
fn tick_recovered_targets_rise_step_by_step() {
    let mut fleet = Fleet::of_86();
    fleet.slow_down(12);
    fleet.run_until(seconds(12));
    let slow = std::mem::take(&mut fleet.slow);
    assert!(fleet.lowered_at_home().is_superset(&slow));
    fleet.run_until(seconds(27));
    assert_eq!(fleet.lowered_at(0), BTreeSet::new());
    for (_, _, change) in &fleet.changes {
        let (from, to) = (change.from.divisor(), change.to.divisor());
        assert!(from == 2 * to || to == 2 * from, "{change:?}");
    }
}

/// 3 % of the requests take 7 times as long, for 4 target-hours in two runs of 60 s.
#[test]
fn tick_heavy_tail_lowers_none() {
    for seed in 1..=2 {
        let mut fleet = Fleet::of_86();
        fleet.random = SeededRandom::new(seed);
        fleet.run_until(seconds(60));
        assert_eq!(fleet.changes, [], "seed {seed}");
    }
}

/// As before, and the targets differ in speed by 1.6, so that long requests clog the slower ones. At
/// most 1 % of the targets are lowered at the same time, and not by more than one step.
#[test]
fn tick_heavy_tail_at_targets_of_unequal_speed_lowers_hardly_any() {
    let mut fleet = Fleet::of_86();
    fleet.random = SeededRandom::new(2);
    for target in 0..TARGETS {
        fleet.speeds[target] = [0.6, 1.0, 1.6][target / 3 % 3];
    }
    for second in 1..60 {
        fleet.run_until(seconds(second));
        assert!(fleet.lowered_at(0).len() * 100 <= TARGETS, "after {second} s");
    }
    assert!(fleet.changes.iter().all(|(_, _, change)| change.to != WeightClass::Quarter));
}

/// Half of the acknowledgements that pass through one of the instances are 300 ms late.
#[test]
fn tick_one_instance_with_bad_link_lowers_none() {
    for (instances, targets) in [(INSTANCES, TARGETS), (2, 24)] {
        let mut fleet = Fleet::new(instances, targets, AIM);
        fleet.instances[1].extra_delay = Duration::from_millis(300);
        fleet.run_until(seconds(25));
        assert_eq!(fleet.changes, []);
    }
}

/// Half of the targets turn 4 times slower, so that the other half could not carry the load.
#[test]
fn tick_half_of_service_slow_lowers_none() {
    let mut fleet = Fleet::of_86();
    fleet.run_until(seconds(5));
    fleet.slow_down(50);
    for second in 6..25 {
        fleet.run_until(seconds(second));
        for instance in 0..INSTANCES {
            assert_eq!(fleet.lowered_at(instance), BTreeSet::new(), "after {second} s");
        }
    }
}

/// 12 % of the targets are slow. The instance that lowered one of them ends, and later the targets
/// recover.
#[test]
fn tick_collector_ends_and_another_one_takes_over() {
    let mut fleet = Fleet::of_86();
    fleet.slow_down(12);
    fleet.run_until(seconds(12));
    let (_, collector, change) = fleet.changes[0];
    fleet.instances[collector].is_alive = false;
    fleet.update_views();
    let observer = usize::from(collector == 0);
    for second in 13..25 {
        fleet.run_until(seconds(second));
        assert!(fleet.lowered_at(observer).contains(&change.target), "after {second} s");
    }
    fleet.slow.clear();
    fleet.run_until(seconds(40));
    assert_eq!(fleet.lowered_at(observer), BTreeSet::new());
}

/// 12 % of the targets are slow. Half of the instances do not see every third one for 15 s, so that
/// there are two collectors for some targets.
#[test]
fn tick_two_views_at_once_lower_the_slow_targets_only() {
    let mut fleet = Fleet::of_86();
    let is_hidden = |number: usize| number % 9 < 3;
    let members = fleet.members.iter().enumerate();
    let partial = members.filter(|(number, _)| !is_hidden(*number)).map(|(_, it)| it.clone());
    let partial = Arc::new(View::new(partial.collect()));
    for instance in (0..INSTANCES).filter(|number| number % 2 == 0 && !is_hidden(*number)) {
        fleet.instances[instance].forwarder.set_view(Arc::clone(&partial));
    }
    fleet.slow_down(12);
    fleet.run_until(seconds(15));
    for instance in (0..INSTANCES).filter(|number| !is_hidden(*number)) {
        let missed = fleet.slow.difference(&fleet.lowered_at(instance)).count();
        assert!(missed * 5 <= fleet.slow.len(), "{missed} not lowered at {instance}");
    }
    fleet.update_views();
    fleet.run_until(seconds(25));
    for instance in 0..INSTANCES {
        let missed = fleet.slow.difference(&fleet.lowered_at(instance)).count();
        assert!(missed * 10 <= fleet.slow.len(), "{missed} not lowered at {instance}");
    }
    let others = fleet.ever_lowered().difference(&fleet.slow).count();
    assert!(others * 100 <= TARGETS, "{others} others lowered");
}

/// Requests at healthy targets only. The baseline decides without observed answers.
#[test]
fn tick_full_weights_leave_all_choices_as_they_were() {
    let run = |aim| {
        let mut fleet = Fleet::new(INSTANCES, TARGETS, aim);
        fleet.run_until(seconds(10));
        fleet.chosen
    };
    assert!(run(AIM) == run(Duration::ZERO));
}

/// Two targets of equally loaded ones are announced to have a lower weight.
#[test]
fn on_weight_report_flows_follow_the_weights() {
    let mut fleet = Fleet::new(INSTANCES, TARGETS, Duration::ZERO);
    fleet.run_until(seconds(4));
    let cookie = |name: &str| {
        let targets = fleet.instances[0].forwarder.targets();
        targets.get(targets.index(name).unwrap()).cookie
    };
    let weights = [
        AnnouncedWeight { cookie: cookie("target-000"), class: WeightClass::Half },
        AnnouncedWeight { cookie: cookie("target-003"), class: WeightClass::Quarter },
    ];
    let from = fleet.members[0].clone();
    for instance in &mut fleet.instances {
        instance.forwarder.on_weight_report(&from, &weights, fleet.now);
    }
    let earlier = fleet.chosen.len();
    fleet.run_until(seconds(4) + WEIGHT_VALIDITY);
    let count = |target| fleet.chosen[earlier..].iter().filter(|it| **it == target).count();
    let fair = (fleet.chosen.len() - earlier) / TARGETS;
    assert!((fair * 35 / 100..=fair * 65 / 100).contains(&count(0)), "{} of {fair}", count(0));
    assert!((fair * 15 / 100..=fair * 40 / 100).contains(&count(3)), "{} of {fair}", count(3));
}

/// Instances announce weights for a target of another data centre and for one of their own.
#[test]
fn on_weight_report_from_another_data_centre_is_refused() {
    let mut fleet = Fleet::new(4, 24, AIM);
    let cookie = fleet.instances[0].forwarder.targets().get(0).cookie;
    let weights = [AnnouncedWeight { cookie, class: WeightClass::Quarter }];
    for (from, lowered) in [(1, 0), (2, 0), (3, 1)] {
        let from = fleet.members[from].clone();
        fleet.instances[0].forwarder.on_weight_report(&from, &weights, fleet.now);
        assert_eq!(fleet.lowered_at(0).len(), lowered, "from {}", from.id);
    }
}

/// The usual load for each number of targets, first with healthy ones and then with 12 % slow ones.
#[test]
fn tick_bytes_are_bounded() {
    for (instances, targets) in [(8, 24), (86, 120), (300, 200)] {
        let mut fleet = Fleet::new(instances, targets, AIM);
        let mut rate = |percent: usize, from: u64, until: u64| {
            fleet.slow_down(percent);
            fleet.run_until(seconds(from));
            let before: Vec<_> = fleet.instances.iter().map(|it| it.sent_bytes).collect();
            fleet.run_until(seconds(until));
            let sent = fleet.instances.iter().zip(before).map(|(it, sent)| it.sent_bytes - sent);
            let sent: Vec<_> = sent.map(|bytes| bytes / (until - from) as usize).collect();
            (sent.iter().sum::<usize>() / instances, sent.into_iter().max().unwrap_or_default())
        };
        let (healthy, slow) = (rate(0, 2, 6), rate(12, 10, 15));
        println!(
            "{instances} instances, {targets} targets: bytes a second, mean and most, {healthy:?}, \
             with slow targets {slow:?}"
        );
        assert!(healthy.0 <= 150 && healthy.1 <= 300, "{healthy:?}");
        assert!(slow.0 <= 600 && slow.1 < 4_000, "{slow:?}");
    }
}

/// A slow target whose weight fell twice starts again, before the second fall reached the other data
/// centre.
#[test]
fn update_restarted_target_has_its_full_weight() {
    let mut fleet = Fleet::new(4, 24, AIM);
    fleet.slow.insert(0);
    let is_quarter = |(_, _, change): &(_, _, WeightChange)| change.to == WeightClass::Quarter;
    let mut time = Duration::ZERO;
    while !fleet.changes.iter().any(is_quarter) {
        assert!(time < seconds(20));
        time += TICK;
        fleet.run_until(time);
    }
    let mut registration = fleet.instances[0].forwarder.targets().get(0).registration.clone();
    registration.started = 2;
    fleet.slow.clear();
    fleet.held[0].clear();
    let name = registration.target.clone();
    let body = Some(RecordBody::Registration(registration));
    let mut directory = directory(24, AIM, fleet.now);
    directory.merge(Part::Targets, vec![DirectoryRecord { name, version: 2, body }], fleet.now);
    for instance in &mut fleet.instances {
        instance.forwarder.update(&directory, Part::Targets, fleet.now);
    }
    for _ in 0..6 {
        time += EVALUATION_INTERVAL * 2;
        fleet.run_until(time);
        for instance in 0..4 {
            assert_eq!(fleet.lowered_at(instance), BTreeSet::new(), "at {instance}, {time:?}");
        }
    }
}

/// Three instances with links between them send 60 requests a second to six targets, one of which
/// takes 300 ms for each.
#[tokio::test(start_paused = true)]
async fn tick_instances_exchange_counts_and_weights() {
    const INSTANCES: usize = 3;
    let link = LinkLimits { bytes_per_second: 1_250_000, queue_bytes: 125_000 };
    let platform = Arc::new(MemoryPlatform::default());
    for number in 0..6 {
        let body = serde_json::to_value(ready_registration(number)).unwrap();
        platform.force_put(Part::Targets.kind(), &format!("target-{number}"), body);
    }
    let mut routing = routing(AIM);
    routing.routes[0].services[0].service = "mailroom".into();
    let body = serde_json::to_value(routing).unwrap();
    platform.force_put(Part::Routing.kind(), "main", body);
    let mut fleet = CookieFleet::restart(INSTANCES, link, platform);
    fleet.run_for(seconds(3)).await;
    let mut due: BTreeMap<u32, Vec<(usize, Segment)>> = BTreeMap::new();
    for step in 0..600 {
        let index = step as usize % INSTANCES;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_000 + step as u16);
        let ends = FlowEnds { caller, service: ROUTES[0].0 };
        fleet.inject(index, &json_segment::encode(&json_segment::opening(ends, 0)));
        let (cookie, is_slow) = fleet.instances().nth(index).unwrap().with_forwarder(|it| {
            let target = it.watch().half_open(&ends).unwrap().target;
            let entry = it.targets().get(target);
            (entry.cookie, entry.registration.target == "target-0")
        });
        let control = Control { acknowledges: true, ..Control::default() };
        let data = Segment { ends, control, seq: 101, ack: 500, data_len: 100, cookie };
        let acknowledgement = Segment { seq: 201, ack: 900, data_len: 0, ..data };
        due.entry(step + 1).or_default().push((index, data));
        let answered = step + if is_slow { 19 } else { 3 };
        due.entry(answered).or_default().push((index, acknowledgement));
        for (index, segment) in due.remove(&step).unwrap_or_default() {
            fleet.inject(index, &json_segment::encode(&segment));
        }
        fleet.run_for(Duration::from_millis(16)).await;
    }
    for instance in fleet.instances() {
        let text = instance.render_metrics(Instant::now());
        let lowered = text.lines().filter(|line| line.starts_with("hollyhead_targets_lowered{"));
        let counts: Vec<_> = lowered.map(|line| line.ends_with(" 1")).collect();
        assert_eq!(counts.iter().filter(|is_one| **is_one).count(), 1, "{text}");
        let is_slow_lowered = instance.with_forwarder(|it| {
            let targets = it.targets();
            targets.get(targets.index("target-0").unwrap()).weight() != WeightClass::Full
        });
        assert!(is_slow_lowered);
    }
}
