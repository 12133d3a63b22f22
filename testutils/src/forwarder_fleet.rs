//! Packet forwarders of a whole fleet without a network: callers, targets with slots and queues, and the
//! messages between instances are simulated in virtual time.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::circuit_breaker::BreakerState;
use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::CookieVerdict;
use hollyhead::directory::Directory;
use hollyhead::directory_message::DirectoryMessage;
use hollyhead::failing_targets::BreakerChange;
use hollyhead::message::{Frame, Message};
use hollyhead::random::{Random, SeededRandom};
use hollyhead::route::{
    FlowLimits, Part, RecordBody, Registration, RegistrationState, Route, RoutedService, Routing,
    ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use hollyhead::target_weight::{WeightChange, WeightClass};
use hollyhead::view::{Member, MemberState, View};
use smol_str::format_smolstr;
use tokio::time::Instant;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// Number of instances of the usual fleet.
pub const INSTANCES: usize = 86;
/// Number of targets of the usual fleet.
pub const TARGETS: usize = 120;
const SLOTS: usize = 2;
/// Requests that a target holds, running and queued, before it answers that it is full.
const MAX_HELD_REQUESTS: usize = 10;
const REQUESTS_PER_SECOND: f64 = 1_286.0;
/// Addresses of the routes, and the mean times that their requests take. Only those of the first can be
/// repeated.
pub const ROUTES: [(SocketAddrV4, f64); 2] = [
    (SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443), 0.034),
    (SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443), 0.044),
];
/// Latency objective of the routes.
pub const AIM: Duration = Duration::from_millis(500);
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Time between two ticks of an instance.
pub const TICK: Duration = Duration::from_millis(30);
/// Usual percentage of the requests that take `TAIL_FACTOR` times as long.
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
    pub ends: FlowEnds,
    pub target: usize,
    pub cookie: u32,
}

/// Instance with its forwarder.
pub struct Instance {
    /// Its packet forwarder.
    pub forwarder: CookieForwarder,
    /// Whether it runs.
    pub is_alive: bool,
    /// Time by which every second acknowledgement of its callers is late.
    pub extra_delay: Duration,
    /// Bytes of control messages that it has sent.
    pub sent_bytes: usize,
}

/// Fleet of packet forwarders with its callers and targets.
pub struct ForwarderFleet {
    /// Time at which the fleet started.
    pub start: Instant,
    /// Present time.
    pub now: Instant,
    /// Randomness of the load.
    pub random: SeededRandom,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Members of the view, in the order of the instances.
    pub members: Vec<Member>,
    /// Times at which the held requests of each target end.
    pub held: Vec<Vec<Instant>>,
    /// Targets that take `SLOW_FACTOR` times as long.
    pub slow: BTreeSet<usize>,
    /// Percentage of the requests that each failing target leaves without a packet.
    pub failing: BTreeMap<usize, u64>,
    /// Whether a request that fails without a packet can be repeated, with the time of its data.
    pub failures: Vec<(Duration, bool)>,
    /// Factor on the time of each target's requests.
    pub speeds: Vec<f64>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    /// Percentage of the requests that take `TAIL_FACTOR` times as long.
    pub tail_percent: u64,
    /// Rate of requests.
    pub requests_per_second: f64,
    sequence: u64,
    ports: u32,
    /// Time of each request from its data to its answer, with the time at which it was sent.
    pub times: Vec<(Duration, Duration)>,
    /// Targets of the new flows, in order.
    pub chosen: Vec<usize>,
    /// Changes of weights, with the time and the deciding instance.
    pub changes: Vec<(Duration, usize, WeightChange)>,
    /// Changes of circuit breakers, with the time.
    pub breaker_changes: Vec<(Duration, BreakerChange)>,
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

/// Returns the routing of the fleet.
pub fn routing(aim: Duration) -> Routing {
    let route = |(address, _): &(SocketAddrV4, f64)| Route {
        name: format_smolstr!("{address}"),
        address: *address,
        services: vec![ServiceShare { service: "index".into(), weight: 1 }],
        precedence: 1,
        is_idempotent: *address == ROUTES[0].0,
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

/// Returns the directory of the fleet.
pub fn directory(targets: usize, aim: Duration, now: Instant) -> Directory {
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

impl ForwarderFleet {
    /// Creates a fleet whose routes have a latency objective.
    pub fn new(instances: usize, targets: usize, aim: Duration) -> Self {
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
            failing: BTreeMap::new(),
            failures: Vec::new(),
            speeds: vec![1.0; targets],
            events: BinaryHeap::new(),
            tail_percent: TAIL_PERCENT,
            requests_per_second: REQUESTS_PER_SECOND * targets as f64 / TARGETS as f64,
            sequence: 0,
            ports: 0,
            times: Vec::new(),
            chosen: Vec::new(),
            changes: Vec::new(),
            breaker_changes: Vec::new(),
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
    pub fn of_86() -> Self {
        Self::new(INSTANCES, TARGETS, AIM)
    }

    /// Tells the instances which of them are alive.
    pub fn update_views(&mut self) {
        let alive = self.members.iter().zip(&self.instances).filter(|(_, it)| it.is_alive);
        let view = Arc::new(View::new(alive.map(|(member, _)| member.clone()).collect()));
        for instance in &mut self.instances {
            instance.forwarder.set_view(Arc::clone(&view));
        }
    }

    /// Makes `percent` of the targets slow.
    pub fn slow_down(&mut self, percent: usize) {
        let targets = self.held.len();
        self.slow = (0..targets).filter(|it| it * 37 % targets * 100 < percent * targets).collect();
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Runs the fleet until a time after its start.
    pub fn run_until(&mut self, end: Duration) {
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
        if self.is_failing(flow.target) {
            let is_repeatable = flow.ends.service == ROUTES[0].0;
            self.failures.push((self.now - self.start, is_repeatable));
            return;
        }
        let factor = if self.slow.contains(&flow.target) { SLOW_FACTOR } else { 1.0 };
        let time = self.serve(flow.target, work.mul_f64(factor * self.speeds[flow.target]));
        self.times.push((self.now - self.start, time));
        let is_delayed = self.random.below(2) == 0;
        let extra = if is_delayed { self.instances[instance].extra_delay } else { Duration::ZERO };
        self.schedule(time + ROUND_TRIP + extra, Event::Acknowledge { instance, flow });
    }

    fn is_failing(&self, target: usize) -> bool {
        let percent = self.failing.get(&target).copied().unwrap_or_default();
        self.random.below(100) < percent
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
        let breaker_changes = forwarder.take_breaker_changes().into_iter();
        self.breaker_changes.extend(breaker_changes.map(|change| (elapsed, change)));
        let weights = forwarder.take_weight_messages().into_iter();
        let breakers = forwarder.take_breaker_messages().into_iter();
        let sent = weights.map(|it| (it.to, it.message));
        let sent: Vec<_> = sent.chain(breakers.map(|it| (it.to, it.message))).collect();
        for (to, message) in sent {
            let frame = Frame::Control(Message::Directory(message.clone()));
            let bytes = frame.encode().unwrap().len() + ENVELOPE_BYTES;
            self.instances[number].sent_bytes += bytes * to.len();
            for to in &to {
                let index = self.members.iter().position(|member| member.peer == *to).unwrap();
                let forwarder = &mut self.instances[index].forwarder;
                match &message {
                    DirectoryMessage::AnswerReport { targets } => {
                        forwarder.on_answer_report(&from, targets, self.now);
                    }
                    DirectoryMessage::WeightReport { targets } => {
                        forwarder.on_weight_report(&from, targets, self.now);
                    }
                    DirectoryMessage::OutcomeReport { targets } => {
                        forwarder.on_outcome_report(&from, targets, self.now);
                    }
                    DirectoryMessage::BreakerReport { targets } => {
                        forwarder.on_breaker_report(&from, targets, self.now);
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
        let is_long = self.random.below(100) < self.tail_percent;
        (0.5 * normal - 0.125).exp() * if is_long { TAIL_FACTOR } else { 1.0 }
    }

    /// Returns the targets whose weight is not full at an instance.
    pub fn lowered_at(&self, instance: usize) -> BTreeSet<usize> {
        let targets = self.instances[instance].forwarder.targets();
        let indices = targets.indices().map(|index| targets.get(index));
        let lowered = indices.filter(|entry| entry.weight() != WeightClass::Full);
        lowered.map(|entry| entry.registration.token as usize).collect()
    }

    /// Returns the targets whose weight is not full at the first three instances, each for the targets
    /// in its data centre.
    pub fn lowered_at_home(&self) -> BTreeSet<usize> {
        let homes = 0..DATA_CENTRES.len();
        let lowered = homes.flat_map(|home| {
            let is_local = move |target: &usize| data_centre(*target) == data_centre(home);
            self.lowered_at(home).into_iter().filter(is_local)
        });
        lowered.collect()
    }

    /// Returns the targets whose circuit breaker is not closed at an instance.
    pub fn withheld_at(&self, instance: usize) -> BTreeSet<usize> {
        let targets = self.instances[instance].forwarder.targets();
        let indices = targets.indices().map(|index| targets.get(index));
        let withheld = indices.filter(|entry| entry.breaker() != BreakerState::Closed);
        withheld.map(|entry| entry.registration.token as usize).collect()
    }

    /// Returns the targets that were lowered from their full weight at any time.
    pub fn ever_lowered(&self) -> BTreeSet<usize> {
        let lowered = self.changes.iter().filter(|(_, _, change)| change.to > change.from);
        lowered.map(|(_, _, change)| change.target).collect()
    }

    /// Returns the mean and the 99th percentile of the times of requests sent from `from` on.
    pub fn times_since(&self, from: Duration) -> (Duration, Duration) {
        let times = self.times.iter().filter(|(at, _)| *at >= from).map(|(_, time)| *time);
        let mut times: Vec<_> = times.collect();
        times.sort();
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        (mean, times[times.len() * 99 / 100])
    }
}
