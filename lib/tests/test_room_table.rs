//! Room of the services at a packet forwarder, and the spillover that follows from it.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::CookieVerdict;
use hollyhead::demand_exchange::{DemandExchange, InstanceRates};
use hollyhead::directory::Directory;
use hollyhead::directory_message::TargetCondition;
use hollyhead::ids::Cookie;
use hollyhead::room_table::{pass_interval, MIN_PASS_INTERVAL};
use hollyhead::route::{
    DirectoryRecord, FlowLimits, Part, RecordBody, Registration, RegistrationState, Route, Routing,
    ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use hollyhead::view::{Member, MemberState, View};
use testutils::cookie_fleet::ready_registration;
use tokio::time::Instant;

const SERVICE: &str = "mailroom";
const LOCAL: &str = "horn-east-a";
const REMOTE: &str = "horn-east-b";
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Time between two flows: 60 per second.
const FLOW_INTERVAL: Duration = Duration::from_micros(16_667);
const LOCAL_INSTANCES: usize = 10;
const LOCAL_TARGETS: usize = 10;
const REMOTE_TARGETS: usize = 40;

struct Fixture {
    forwarder: CookieForwarder,
    view: Arc<View>,
    /// Instance of the other data centre.
    other: DemandExchange,
    /// Endpoints and cookies of the flows in the order of their openings.
    flows: Vec<(FlowEnds, Cookie)>,
    /// Number of flows that each target got.
    counts: [usize; LOCAL_TARGETS + REMOTE_TARGETS],
}

fn member(name: &str, data_centre: &str) -> Member {
    Member {
        id: name.into(),
        data_centre: data_centre.into(),
        peer: ([10, 0, 0, 1], 7_000).into(),
        request: ([10, 0, 0, 1], 7_000).into(),
        epoch: 1,
        incarnation: 0,
        state: MemberState::Alive,
    }
}

fn routing() -> Routing {
    let route = Route {
        name: "mail".into(),
        address: ADDRESS,
        services: vec![ServiceShare { service: SERVICE.into(), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(2),
        aim: Duration::ZERO,
    };
    let limits = FlowLimits { idle_timeout: Duration::from_secs(10) };
    Routing { version: 1, routes: vec![route], services: Vec::new(), limits }
}

impl Fixture {
    /// Creates a forwarder with routes and targets that `adapt` changes.
    fn new(adapt: impl Fn(usize, &mut Registration)) -> Self {
        let mut forwarder = CookieForwarder::new(CookieForwarderSetup {
            id: "entry-0".into(),
            data_centre: LOCAL.into(),
            flow_key: [7; 16],
            cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
            outage_bound: Duration::from_secs(5),
        });
        let local = (0..LOCAL_INSTANCES).map(|it| member(&format!("entry-{it}"), LOCAL));
        let members = local.chain([member("other-0", REMOTE)]).collect();
        let view = Arc::new(View::new(members));
        forwarder.set_view(Arc::clone(&view));
        let registrations = (0..LOCAL_TARGETS + REMOTE_TARGETS).map(|number| {
            let mut registration = ready_registration(number);
            if number >= LOCAL_TARGETS {
                registration.data_centre = REMOTE.into();
            }
            adapt(number, &mut registration);
            (registration.target.clone(), RecordBody::Registration(registration))
        });
        let mut directory = Directory::default();
        let now = Instant::now();
        let parts =
            [(Part::Routing, routing().into_records()), (Part::Targets, registrations.collect())];
        for (part, records) in parts {
            let record = |(name, body)| DirectoryRecord { name, version: 1, body: Some(body) };
            directory.merge(part, records.into_iter().map(record).collect(), now);
            directory.confirm(part, 1, now);
            forwarder.update(&directory, part, now);
        }
        let other = DemandExchange::new("other-0".into(), REMOTE.into());
        let counts = [0; LOCAL_TARGETS + REMOTE_TARGETS];
        Self { forwarder, view, other, flows: Vec::new(), counts }
    }

    /// Reports from the other data centre that its callers send no requests.
    fn report_remote(&mut self) {
        let now = Instant::now();
        self.other.refresh(InstanceRates::complete([]), &self.view, now);
        let report = self.other.report_for(&LOCAL.into(), now);
        self.forwarder.on_demand_report(&member("other-0", REMOTE), &report, now);
    }

    fn packet(&mut self, segment: Segment) -> CookieVerdict {
        self.forwarder.on_segment(&segment, Instant::now())
    }

    /// Opens a flow per [`FLOW_INTERVAL`]. Its request follows an interval later and the answer three
    /// intervals after that, so that a request occupies a slot for two. Returns the share of the
    /// flows that went to the other data centre.
    async fn run(&mut self, flows: usize, has_reports: bool) -> f64 {
        let mut remote = 0;
        for _ in 0..flows {
            tokio::time::advance(FLOW_INTERVAL).await;
            if has_reports && self.flows.len() % 15 == 0 {
                self.report_remote();
            }
            self.forwarder.refresh_rooms(Instant::now());
            self.forwarder.tick(Instant::now());
            let port = 1_024 + self.flows.len() as u16;
            let ends = FlowEnds {
                caller: SocketAddrV4::new([100, 64, 0, 7].into(), port),
                service: ADDRESS,
            };
            let control = Control { opens: true, ..Control::default() };
            let verdict =
                self.packet(Segment { ends, control, seq: 100, ack: 0, data_len: 0, cookie: 0 });
            let CookieVerdict::Forward { token, cookie, .. } = verdict else {
                panic!("flow not placed: {verdict:?}");
            };
            remote += usize::from(token >= LOCAL_TARGETS as u64);
            self.counts[token as usize] += 1;
            self.flows.push((ends, cookie));
            self.continue_flow(1, 500, 100);
            self.continue_flow(4, 900, 0);
        }
        remote as f64 / flows as f64
    }

    /// Sends the next packet of the flow that was opened some flows ago.
    fn continue_flow(&mut self, flows_ago: usize, ack: u32, data_len: u16) {
        let Some(index) = self.flows.len().checked_sub(1 + flows_ago) else { return };
        let (ends, cookie) = self.flows[index];
        let control = Control { acknowledges: true, ..Control::default() };
        self.packet(Segment { ends, control, seq: 101, ack, data_len, cookie });
    }

    /// Sends an opening packet; `copy` counts those before it. Returns whether it went to the other
    /// data centre.
    fn open(&mut self, port: u16, copy: u32) -> bool {
        let caller = SocketAddrV4::new([100, 64, 0, 8].into(), port);
        let ends = FlowEnds { caller, service: ADDRESS };
        let control = Control { opens: true, ..Control::default() };
        let segment = Segment { ends, control, seq: 100, ack: copy, data_len: 0, cookie: 0 };
        match self.packet(segment) {
            CookieVerdict::Forward { token, .. } => token >= LOCAL_TARGETS as u64,
            verdict => panic!("flow not placed: {verdict:?}"),
        }
    }

    fn slots(&self) -> Vec<u32> {
        let room = self.forwarder.room(SERVICE).cloned().unwrap_or_default();
        room.data_centres.iter().map(|it| it.slots).collect()
    }
}

/// Load: 60 requests per second at each of ten instances, which need as many slots as their data
/// centre has. Openings go to the other data centre in the share that exceeds 60 %.
#[tokio::test(start_paused = true)]
async fn refresh_rooms_openings_spill_over_in_the_wanted_share() {
    let mut fixture = Fixture::new(|_, _| ());
    fixture.run(600, true).await;
    let spilled = fixture.run(600, true).await;
    assert!((spilled - 0.4).abs() < 0.06, "{spilled}");
    let room = fixture.forwarder.room(SERVICE).cloned().unwrap_or_default();
    let demand = room.demand().unwrap_or_default().requests_per_second;
    assert!((demand - 600.0).abs() < 30.0, "{room:?}");
    assert!(room.own_share.is_some_and(|it| (it - 0.1).abs() < 0.01), "{room:?}");
}

/// Load: as above. The flows that spill over are spread evenly over the targets there.
#[tokio::test(start_paused = true)]
async fn refresh_rooms_spilled_openings_are_spread_over_targets() {
    let mut fixture = Fixture::new(|_, _| ());
    fixture.run(1_500, true).await;
    let counts = &fixture.counts[LOCAL_TARGETS..];
    let mean = counts.iter().sum::<usize>() as f64 / REMOTE_TARGETS as f64;
    let most = counts.iter().copied().max().unwrap_or_default() as f64;
    assert!(mean > 8.0 && most <= 1.3 * mean, "{counts:?}");
}

/// Load: as above, and the other data centre is cut off. Copies of the openings that went there stay,
/// at the instance that sent the first one and at another.
#[tokio::test(start_paused = true)]
async fn on_segment_copies_of_spilled_openings_stay_at_home() {
    let mut fixture = Fixture::new(|_, _| ());
    fixture.run(600, true).await;
    let spilled: Vec<_> = (2_000..2_040).filter(|port| fixture.open(*port, 0)).collect();
    assert!(spilled.len() > 4, "{spilled:?}");
    assert!(!spilled.iter().any(|port| fixture.open(*port, 0)), "half open");
    assert!(!(3_000..3_100).any(|port| fixture.open(port, 1)), "copies of unseen openings");
}

/// Load: as above, then all targets of the other data centre are found down, and a third one has no
/// room. Openings stay at home before the room is computed again.
#[tokio::test(start_paused = true)]
async fn on_segment_destination_without_usable_target_chooses_own() {
    const THIRD: usize = LOCAL_TARGETS + 20;
    let mut fixture = Fixture::new(|number, it| {
        if number >= THIRD {
            (it.data_centre, it.slots) = ("horn-east-c".into(), 0);
        }
    });
    fixture.run(600, true).await;
    assert!((2_000..2_040).any(|port| fixture.open(port, 0)));
    let reporter = member("other-0", REMOTE);
    for number in LOCAL_TARGETS..THIRD {
        let (target, now) = (format!("target-{number}"), Instant::now());
        fixture.forwarder.on_condition(&reporter, &target, TargetCondition::Down, now);
    }
    assert!(!(3_000..3_100).any(|port| fixture.open(port, 0)));
}

/// Load: as above, but no instance of the other data centre reports its demand. The rule without figures holds.
#[tokio::test(start_paused = true)]
async fn refresh_rooms_without_reports_stays_at_home() {
    let mut fixture = Fixture::new(|_, _| ());
    assert_eq!(fixture.run(900, false).await, 0.0);
}

#[tokio::test(start_paused = true)]
async fn refresh_rooms_counts_slots_that_take_new_flows() {
    let mut fixture = Fixture::new(|number, it| match number {
        0 => it.state = RegistrationState::Draining,
        1 => it.cold_left = Duration::from_secs(4),
        _ => (),
    });
    let reporter = member("entry-1", LOCAL);
    let down = TargetCondition::Down;
    fixture.forwarder.on_condition(&reporter, "target-2", down, Instant::now());
    fixture.forwarder.refresh_rooms(Instant::now());
    assert_eq!(fixture.slots(), [14, 80]);
    tokio::time::advance(Duration::from_secs(5)).await;
    fixture.forwarder.refresh_rooms(Instant::now());
    assert_eq!(fixture.slots(), [16, 80]);
}

#[test]
fn pass_interval_is_longer_with_many_targets() {
    assert_eq!(pass_interval(150), MIN_PASS_INTERVAL);
    assert_eq!(pass_interval(46_000), Duration::from_millis(1_840));
}
