//! The judge finds each broken promise, and lets pass what the promises allow.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead_soak::judge::{
    Disturbance, History, Outage, RouteLife, Subject, TargetLife, CONFIG_BOUND, DRAIN_BOUND,
    OUTAGE_BOUND,
};
use smol_str::SmolStr;
use testutils::echo_target::{FlowEnds, TargetEvent};
use testutils::flow_caller::{FlowError, FlowReport};
use tokio::time::Instant;

const VIA: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 1);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);
const FLOW: FlowEnds = (SocketAddrV4::new(Ipv4Addr::new(127, 2, 3, 1), 20_000), SERVICE);
const HOUR: Duration = Duration::from_secs(3_600);
const COLD_FLOWS: usize = 20;

/// A history of one route with one target, both an hour old.
struct Case {
    history: History,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        let started = Instant::now();
        let mut history = History { cold_flows_per_second: COLD_FLOWS, ..History::default() };
        let life = TargetLife {
            service: "quaydesk".into(),
            data_centre: "horn-east-a".into(),
            started,
            cold: Duration::ZERO,
            drained: None,
            ended: None,
        };
        history.targets.insert("i-1".into(), life.clone());
        let other = TargetLife { service: "rosterbook".into(), ..life };
        history.targets.insert("i-2".into(), other);
        let route = RouteLife { service: "quaydesk".into(), added: started, dropped: None };
        history.routes.insert(SERVICE, route);
        Self { history, now: started + HOUR }
    }

    fn opens(&mut self, target: &str, at: Instant) {
        let target = target.into();
        self.history.events.push(TargetEvent::Opened { flow: FLOW, target, via: VIA, at });
    }

    fn strays(&mut self, at: Instant, count: usize) {
        for _ in 0..count {
            let target = SmolStr::new("i-2");
            self.history.events.push(TargetEvent::UnknownFlow { flow: FLOW, target, via: VIA, at });
        }
    }

    fn disturbs(&mut self, subject: Subject, at: Instant) {
        let (until, is_planned) = (Some(at), false);
        self.history.disturbances.push(Disturbance { subject, from: at, until, is_planned });
    }

    fn ends(&mut self, loss: FlowError, opened: bool) {
        self.history.reports.push(FlowReport {
            flow: FLOW,
            began: self.now,
            first_via: Some(VIA),
            openings: 1,
            opened: opened.then_some(self.now),
            sent: vec![1],
            answered: 0,
            ended: self.now,
            error: Some(loss),
        });
    }

    fn life(&mut self) -> &mut TargetLife {
        self.history.targets.entry("i-1".into()).or_insert_with(|| unreachable!())
    }

    fn promises(&self) -> Vec<&'static str> {
        self.history.violations().into_iter().map(|it| it.promise).collect()
    }
}

#[test]
fn run_twice_is_found() {
    let mut case = Case::new();
    case.history.requests = 8;
    for target in ["i-1", "i-2"] {
        case.history.events.push(TargetEvent::RequestStarted { id: 7, target: target.into() });
    }
    assert_eq!(case.promises(), ["at most once"]);
}

#[test]
fn run_that_nobody_asked_for_is_found() {
    let mut case = Case::new();
    case.history.events.push(TargetEvent::RequestStarted { id: 0, target: "i-1".into() });
    assert_eq!(case.promises(), ["nothing unasked"]);
}

#[test]
fn opening_at_another_service_is_found() {
    let mut case = Case::new();
    case.opens("i-2", case.now);
    assert_eq!(case.promises(), ["services apart"]);
}

#[test]
fn opening_at_a_draining_target_is_found_after_the_bound() {
    let mut case = Case::new();
    case.life().drained = Some(case.now);
    case.opens("i-1", case.now + DRAIN_BOUND);
    assert!(case.promises().is_empty());
    case.opens("i-1", case.now + DRAIN_BOUND + Duration::from_millis(1));
    assert_eq!(case.promises(), ["draining"]);
}

#[test]
fn opening_at_a_draining_target_is_let_pass_while_the_store_is_disturbed() {
    let mut case = Case::new();
    case.life().drained = Some(case.now);
    case.disturbs(Subject::Store, case.now);
    case.opens("i-1", case.now + 2 * DRAIN_BOUND);
    assert!(case.promises().is_empty());
}

#[test]
fn opening_in_a_data_centre_that_is_out_is_found_after_the_bound() {
    let mut case = Case::new();
    let data_centre = SmolStr::new("horn-east-a");
    case.history.outages.push(Outage { data_centre, from: case.now, until: None });
    case.opens("i-1", case.now + OUTAGE_BOUND);
    assert!(case.promises().is_empty());
    case.opens("i-1", case.now + 2 * OUTAGE_BOUND);
    assert_eq!(case.promises(), ["data centre out"]);
}

#[test]
fn opening_on_a_dropped_route_is_found_after_the_bound() {
    let mut case = Case::new();
    let now = case.now;
    case.history.routes.entry(SERVICE).and_modify(|route| route.dropped = Some(now));
    case.opens("i-1", now + CONFIG_BOUND);
    assert!(case.promises().is_empty());
    case.opens("i-1", now + 2 * CONFIG_BOUND);
    assert_eq!(case.promises(), ["configuration in force"]);
}

#[test]
fn openings_at_a_cold_target_are_counted_in_every_second() {
    let mut case = Case::new();
    let now = case.now;
    case.life().started = now;
    case.life().cold = Duration::from_secs(3);
    for index in 0..COLD_FLOWS as u32 {
        case.opens("i-1", now + Duration::from_millis(u64::from(500 + index)));
    }
    assert!(case.promises().is_empty());
    case.opens("i-1", now + Duration::from_millis(1_400));
    assert_eq!(case.promises(), ["cold targets spared"]);
}

#[test]
fn packets_of_an_open_flow_at_another_target_are_found() {
    let mut case = Case::new();
    case.opens("i-1", case.now);
    case.strays(case.now + Duration::from_secs(1), 2);
    assert!(case.promises().is_empty());
    case.strays(case.now + Duration::from_secs(1), 1);
    assert_eq!(case.promises(), ["flows stay whole"]);
}

#[test]
fn packets_of_an_open_flow_are_let_pass_through_a_disturbed_instance() {
    let mut case = Case::new();
    case.opens("i-1", case.now);
    case.strays(case.now + Duration::from_secs(1), 3);
    case.disturbs(Subject::Instance(VIA), case.now);
    assert!(case.promises().is_empty());
}

#[test]
fn reset_of_an_open_flow_is_found() {
    let mut case = Case::new();
    case.opens("i-1", case.now);
    case.ends(FlowError::ResetBySystem, true);
    case.disturbs(Subject::Target("i-2".into()), case.now);
    assert_eq!(case.promises(), ["open flows are not reset"]);
}

#[test]
fn reset_of_an_open_flow_is_let_pass_when_its_target_is_disturbed() {
    let mut case = Case::new();
    case.opens("i-1", case.now);
    case.ends(FlowError::ResetBySystem, true);
    case.disturbs(Subject::Target("i-1".into()), case.now);
    assert!(case.promises().is_empty());
}

#[test]
fn loss_in_quiet_times_is_found_also_beside_planned_stops() {
    let mut case = Case::new();
    let (subject, now) = (Subject::Instance(VIA), case.now);
    let until = Some(now);
    case.history.disturbances.push(Disturbance { subject, from: now, until, is_planned: true });
    case.ends(FlowError::Deadline, true);
    assert_eq!(case.promises(), ["served in quiet times"]);
}

#[test]
fn refusal_of_a_new_route_in_force_is_found() {
    let mut case = Case::new();
    case.ends(FlowError::ResetBySystem, false);
    case.disturbs(Subject::Instance(Ipv4Addr::new(127, 2, 0, 9)), case.now);
    assert_eq!(case.promises(), ["configuration in force"]);
}

#[test]
fn wrong_answer_is_found_whatever_was_disturbed() {
    let mut case = Case::new();
    case.ends(FlowError::WrongAnswer, true);
    case.disturbs(Subject::Machine, case.now);
    assert_eq!(case.promises(), ["answers whole"]);
}
