//! Exchange of demand in fleets of three data centres. Each instance sees 20 requests per second and
//! sends two reports per second; delivery is immediate unless a case loses messages.

use std::time::Duration;

use hollyhead::cookie_instance::CookieInstance;
use hollyhead::demand_exchange::{
    DemandExchange, DemandReport, InstanceRates, Receiver, ReportSchedule, WireRate,
    BUSY_REPORT_INTERVAL, CALM_REPORT_INTERVAL, MAX_RATES_AGE, SETTLING_TIME,
};
use hollyhead::directory_message::DirectoryMessage;
use hollyhead::message::{Frame, Message};
use hollyhead::random::{Random, SeededRandom};
use hollyhead::room::Demand;
use hollyhead::route::{FlowLimits, Part, Routing};
use hollyhead::view::{Member, MemberState, View};
use smol_str::format_smolstr;
use testutils::bandwidth_limited_network::LinkLimits;
use testutils::cookie_fleet::{ready_registration, CookieFleet};
use tokio::time::Instant;

const DATA_CENTRES: [&str; 3] = ["north-a", "north-b", "north-c"];
const SERVICES: [&str; 2] = ["mail-desk", "parcel-desk"];
const RATE: f64 = 20.0;
const STEP: Duration = Duration::from_millis(250);
/// Bytes that [`hollyhead::envelope`] adds for a name of 12 bytes.
const ENVELOPE_BYTES: usize = 47;
const INSTANCES: usize = 24;
const LINK: LinkLimits = LinkLimits { bytes_per_second: 1_250_000, queue_bytes: 125_000 };

struct Fleet {
    view: View,
    exchanges: Vec<DemandExchange>,
    schedules: Vec<ReportSchedule>,
    random: SeededRandom,
    now: Instant,
    sent_bytes: usize,
    interval: Duration,
}

/// What differs between cases, by the index of an instance.
struct Case<'a> {
    /// Own requests per second of an instance, before the noise of a small sample.
    rate: &'a dyn Fn(usize) -> f64,
    /// Whether a message gets through.
    passes: &'a dyn Fn(usize, usize) -> bool,
    /// Changes the report of an instance.
    falsify: &'a dyn Fn(usize, &mut DemandReport),
    /// Whether an instance is suspended.
    is_frozen: &'a dyn Fn(usize) -> bool,
}

const PLAIN: Case<'static> =
    Case { rate: &|_| RATE, passes: &|_, _| true, falsify: &|_, _| (), is_frozen: &|_| false };

impl Fleet {
    fn new(instances: usize) -> Self {
        let member = |index: usize| Member {
            id: format_smolstr!("entry-{index:06}"),
            data_centre: DATA_CENTRES[index % 3].into(),
            peer: ([10, 0, 0, 1], 7_000).into(),
            request: ([10, 0, 0, 1], 7_000).into(),
            epoch: 1,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let view = View::new((0..instances).map(member).collect());
        let exchange = |it: &Member| DemandExchange::new(it.id.clone(), it.data_centre.clone());
        let exchanges = view.members().iter().map(exchange).collect();
        let schedules = vec![ReportSchedule::default(); instances];
        let (random, now) = (SeededRandom::new(5), Instant::now());
        Self {
            view,
            exchanges,
            schedules,
            random,
            now,
            sent_bytes: 0,
            interval: BUSY_REPORT_INTERVAL,
        }
    }

    fn run(&mut self, seconds: u32, case: &Case<'_>) {
        for _ in 0..seconds * 4 {
            self.now += STEP;
            let running = (0..self.exchanges.len()).filter(|index| !(case.is_frozen)(*index));
            running.for_each(|index| self.step(index, case));
        }
    }

    fn step(&mut self, index: usize, case: &Case<'_>) {
        // The error of a rate of 20 per second over its time constant, up to three deviations.
        let noise = 0.8 + 0.4 * self.random.below(1_000) as f64 / 1_000.0;
        let requests_per_second = (case.rate)(index) * noise;
        let demand = Demand { requests_per_second, turned_away_per_second: 0.0 };
        let own = InstanceRates::complete(SERVICES.map(|name| (name.into(), demand)));
        self.exchanges[index].refresh(own, &self.view, self.now);
        let Some(receiver) = self.schedules[index].take_due(self.interval, self.now) else {
            return;
        };
        let is_own = receiver == Receiver::OwnDataCentre;
        let others = (0..self.exchanges.len()).filter(|it| *it != index);
        let receivers: Vec<_> = others.filter(|it| (it % 3 == index % 3) == is_own).collect();
        let to = receivers[self.random.below(receivers.len() as u64) as usize];
        let mut report = self.exchanges[index].report_for(&DATA_CENTRES[to % 3].into(), self.now);
        (case.falsify)(index, &mut report);
        let message = Message::Directory(DirectoryMessage::Demand(report.clone()));
        let body = Frame::Control(message).encode().expect("a report can be encoded");
        self.sent_bytes += body.len() + ENVELOPE_BYTES;
        if (case.passes)(index, to) && !(case.is_frozen)(to) {
            let sender = &self.view.members()[index];
            self.exchanges[to].on_report(sender, &report, &self.view, self.now);
        }
    }

    /// Returns what an instance knows of the demand of a data centre, per instance of it.
    fn known(&self, index: usize, data_centre: usize) -> Option<f64> {
        let estimate = self.exchanges[index].estimates().get(data_centre)?;
        let demand = estimate.demand(SERVICES[0])?;
        Some(demand.requests_per_second / estimate.instances as f64)
    }

    /// Returns the share of the estimates of all instances that are within a fraction of the rates.
    fn close_share(&self, rates: [f64; 3], fraction: f64) -> f64 {
        let all = (0..self.exchanges.len()).flat_map(|index| (0..3).map(move |it| (index, it)));
        let is_close = |(index, data_centre): &(usize, usize)| {
            let rate = rates[*data_centre];
            let known = self.known(*index, *data_centre);
            known.is_some_and(|it| (it - rate).abs() <= fraction * rate)
        };
        let share = all.filter(is_close).count() as f64 / (3 * self.exchanges.len()) as f64;
        println!("within {fraction}: {share:.3}");
        share
    }
}

/// Load: steady, then the callers of a data centre move to another one within a second.
#[test]
fn refresh_86_instances_converge_within_seconds() {
    let mut fleet = Fleet::new(86);
    fleet.run(SETTLING_TIME.as_secs() as u32 + 5, &PLAIN);
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.98);
    fleet.run(8, &Case { rate: &|index| [5.0, 35.0, RATE][index % 3], ..PLAIN });
    assert!(fleet.close_share([5.0, 35.0, RATE], 0.2) > 0.98);
}

/// Load: steady, with room and without. The bytes that an instance sends per second do not depend on
/// the fleet's size. With room they are below 5 % of 1,671, which the other messages of an instance
/// take in a fleet of 300.
#[test]
fn report_bytes_are_constant_from_8_to_300_instances() {
    for (interval, most) in [(BUSY_REPORT_INTERVAL, 250), (CALM_REPORT_INTERVAL, 83)] {
        let bytes = [8, 86, 300].map(|instances| {
            let mut fleet = Fleet::new(instances);
            fleet.interval = interval;
            fleet.run(9, &PLAIN);
            fleet.sent_bytes = 0;
            fleet.run(9, &PLAIN);
            fleet.sent_bytes / instances / 9
        });
        println!("bytes per instance and second: {bytes:?}");
        let is_constant = |it: &usize| it.abs_diff(bytes[2]) <= bytes[2] / 20 && *it <= most;
        assert!(bytes.iter().all(is_constant), "{bytes:?}");
    }
}

/// Load: steady, with room everywhere. Few reports keep most estimates known.
#[test]
fn refresh_few_reports_while_there_is_room() {
    let mut fleet = Fleet::new(86);
    fleet.interval = CALM_REPORT_INTERVAL;
    fleet.run(15, &PLAIN);
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.8);
}

/// Load: steady; half of the messages are lost, and half of the instances send none.
#[test]
fn refresh_lost_messages_and_older_instances_still_converges() {
    let mut fleet = Fleet::new(86);
    let random = SeededRandom::new(9);
    fleet.run(8, &Case { passes: &|_, _| random.below(2) == 0, ..PLAIN });
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.85);
    let mut fleet = Fleet::new(86);
    fleet.run(8, &Case { passes: &|from, _| from / 3 % 2 == 0, ..PLAIN });
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.85);
}

/// Load: steady, and one data centre is cut off. The others go on to relay its figures to each
/// other, and yet they expire; they come back after the end of the cut.
#[test]
fn refresh_data_centre_cut_off_expires() {
    let mut fleet = Fleet::new(86);
    fleet.run(6, &PLAIN);
    let cut = Case { passes: &|from, to| (from % 3 == 2) == (to % 3 == 2), ..PLAIN };
    fleet.run(MAX_RATES_AGE.as_secs() as u32 + 1, &cut);
    let count = |fleet: &Fleet, from: usize, of: usize| {
        (0..86).filter(|it| it % 3 == from && fleet.known(*it, of).is_some()).count()
    };
    assert_eq!((count(&fleet, 0, 2), count(&fleet, 2, 0)), (0, 0));
    assert_eq!((count(&fleet, 0, 1), count(&fleet, 2, 2)), (29, 28));
    fleet.run(5, &PLAIN);
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.98);
}

/// Load: steady, but all reports stop for 10 s. No figure of another instance is used.
#[test]
fn refresh_figures_10_s_old_are_missing() {
    let mut fleet = Fleet::new(8);
    fleet.run(6, &PLAIN);
    fleet.run(10, &Case { passes: &|_, _| false, ..PLAIN });
    let is_own = |index: usize, data_centre: usize| index % 3 == data_centre;
    assert!((0..8).all(|it| (0..3).all(|of| fleet.known(it, of).is_some() == is_own(it, of))));
}

/// Load: steady; three instances report a hundred times the rates, of all data centres and as if
/// just observed. Most estimates keep their accuracy, and nearly all are within half.
#[test]
fn refresh_wrong_figures_change_little() {
    let mut fleet = Fleet::new(86);
    let falsify = |index: usize, report: &mut DemandReport| {
        if index < 3 {
            report.own.iter_mut().for_each(|it| it.requests *= 100);
            for rates in &mut report.data_centres {
                rates.age = Duration::ZERO;
                rates.rates.iter_mut().flatten().for_each(|it| it.requests *= 100);
            }
        }
    };
    fleet.run(10, &Case { falsify: &falsify, ..PLAIN });
    assert!(fleet.close_share([RATE; 3], 0.2) > 0.75);
    assert!(fleet.close_share([RATE; 3], 0.5) > 0.95);
}

/// Load: steady; one instance is suspended for 4 s, and its rates start from 0. It does not pass on
/// the demand of its data centre before its rates are complete.
#[test]
fn report_for_after_a_pause_leaves_out_the_own_data_centre() {
    let mut fleet = Fleet::new(86);
    let is_passed_on = |fleet: &Fleet| {
        let report = fleet.exchanges[0].report_for(&DATA_CENTRES[1].into(), fleet.now);
        report.data_centres.iter().any(|it| it.data_centre == DATA_CENTRES[0])
    };
    fleet.run(2, &PLAIN);
    assert!(!is_passed_on(&fleet), "started 2 s ago");
    fleet.run(8, &PLAIN);
    assert!(is_passed_on(&fleet));
    fleet.run(4, &Case { is_frozen: &|index| index == 0, ..PLAIN });
    assert!(!is_passed_on(&fleet), "suspended");
    let woken = Case { rate: &|index| if index == 0 { 0.0 } else { RATE }, ..PLAIN };
    for second in 1..=2 {
        fleet.run(1, &woken);
        assert!(!is_passed_on(&fleet), "{second} s after the pause");
    }
    fleet.run(3, &woken);
    assert!(is_passed_on(&fleet));
}

/// Load: one of two instances, or two of four, see no requests. None of the others is capped.
#[test]
fn refresh_half_of_the_samples_zero_caps_none() {
    let fleet = Fleet::new(12);
    for zeros in [1, 2] {
        let mut exchange = DemandExchange::new("entry-000000".into(), DATA_CENTRES[0].into());
        let members = fleet.view.members().iter().step_by(3).skip(1);
        for (number, member) in members.take(2 * zeros - 1).enumerate() {
            let requests = if number < zeros { 2_000 } else { 0 };
            let report = DemandReport {
                services: vec![SERVICES[0].into()],
                is_complete: true,
                own: vec![WireRate { requests, turned_away: 0 }],
                data_centres: Vec::new(),
            };
            exchange.on_report(member, &report, &fleet.view, fleet.now);
        }
        exchange.refresh(InstanceRates::complete([]), &fleet.view, fleet.now);
        let demand = exchange.estimates()[0].demand(SERVICES[0]).unwrap_or_default();
        assert_eq!(demand.requests_per_second, 4.0 * 10.0);
    }
}

fn json(value: &impl serde::Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("the value can be encoded")
}

/// Load: none. Instances that run in a network learn the demand of all data centres.
#[tokio::test(start_paused = true)]
async fn on_peer_datagram_reports_make_the_rooms_known() {
    let mut fleet = CookieFleet::start(INSTANCES, LINK);
    let limits = FlowLimits { idle_timeout: Duration::from_secs(9) };
    let routing = Routing { version: 1, routes: Vec::new(), services: Vec::new(), limits };
    fleet.platform().force_put(Part::Routing.kind(), "main", json(&routing));
    let target = json(&ready_registration(0));
    fleet.platform().force_put(Part::Targets.kind(), "target-0", target);
    fleet.run_for(Duration::from_secs(20)).await;
    let is_known = |it: &&CookieInstance| {
        it.with_forwarder(|it| it.room("mailroom").is_some_and(|room| room.demand().is_some()))
    };
    let known = fleet.instances().filter(is_known).count();
    assert!(known * 10 >= INSTANCES * 8, "{known} of {INSTANCES}");
}
