//! Tests that the checker finds a violation of each guarantee and accepts what the guarantees
//! allow.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead_soak::checker::{
    Disturbance, History, Outage, RouteLifetime, Subject, TargetLifetime, CONFIG_BOUND,
    DRAIN_BOUND, OUTAGE_BOUND,
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

/// History with one route to `quaydesk`, and one target each of `quaydesk` and `rosterbook`, all an
/// hour old.
struct Case {
    history: History,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        let started = Instant::now();
        let mut history = History { cold_flows_per_second: COLD_FLOWS, ..History::default() };
        let lifetime = TargetLifetime {
            service: "quaydesk".into(),
            data_centre: "horn-east-a".into(),
            started,
            cold: Duration::ZERO,
            drained: None,
            ended: None,
        };
        history.targets.insert("i-1".into(), lifetime.clone());
        let other = TargetLifetime { service: "rosterbook".into(), ..lifetime };
        history.targets.insert("i-2".into(), other);
        let route = RouteLifetime { service: "quaydesk".into(), added: started, dropped: None };
        history.routes.insert(SERVICE, route);
        Self { history, now: started + HOUR }
    }

    fn add_opening(&mut self, target: &str, at: Instant) {
        let target = target.into();
        self.history.events.push(TargetEvent::Opened { flow: FLOW, target, via: VIA, at });
    }

    fn add_strays(&mut self, at: Instant, count: usize) {
        for _ in 0..count {
            let target = SmolStr::new("i-2");
            self.history.events.push(TargetEvent::UnknownFlow { flow: FLOW, target, via: VIA, at });
        }
    }

    fn add_disturbance(&mut self, subject: Subject, at: Instant) {
        let (until, is_planned) = (Some(at), false);
        self.history.disturbances.push(Disturbance { subject, from: at, until, is_planned });
    }

    fn add_failed_flow(&mut self, loss: FlowError, opened: bool) {
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

    fn lifetime(&mut self) -> &mut TargetLifetime {
        self.history.targets.entry("i-1".into()).or_insert_with(|| unreachable!())
    }

    fn violated_guarantees(&self) -> Vec<&'static str> {
        self.history.violations().into_iter().map(|it| it.guarantee).collect()
    }
}

#[test]
fn run_twice_is_found() {
    let mut case = Case::new();
    case.history.requests = 8;
    for target in ["i-1", "i-2"] {
        case.history.events.push(TargetEvent::RequestStarted { id: 7, target: target.into() });
    }
    assert_eq!(case.violated_guarantees(), ["at most once"]);
}

#[test]
fn run_that_nobody_asked_for_is_found() {
    let mut case = Case::new();
    case.history.events.push(TargetEvent::RequestStarted { id: 0, target: "i-1".into() });
    assert_eq!(case.violated_guarantees(), ["no unrequested execution"]);
}

#[test]
fn opening_at_another_service_is_found() {
    let mut case = Case::new();
    case.add_opening("i-2", case.now);
    assert_eq!(case.violated_guarantees(), ["service isolation"]);
}

#[test]
fn opening_at_a_draining_target_is_found_after_the_bound() {
    let mut case = Case::new();
    case.lifetime().drained = Some(case.now);
    case.add_opening("i-1", case.now + DRAIN_BOUND);
    assert!(case.violated_guarantees().is_empty());
    case.add_opening("i-1", case.now + DRAIN_BOUND + Duration::from_millis(1));
    assert_eq!(case.violated_guarantees(), ["draining"]);
}

#[test]
fn opening_at_a_draining_target_is_let_pass_while_the_store_is_disturbed() {
    let mut case = Case::new();
    case.lifetime().drained = Some(case.now);
    case.add_disturbance(Subject::Store, case.now);
    case.add_opening("i-1", case.now + 2 * DRAIN_BOUND);
    assert!(case.violated_guarantees().is_empty());
}

#[test]
fn opening_in_a_data_centre_that_is_out_is_found_after_the_bound() {
    let mut case = Case::new();
    let data_centre = SmolStr::new("horn-east-a");
    case.history.outages.push(Outage { data_centre, from: case.now, until: None });
    case.add_opening("i-1", case.now + OUTAGE_BOUND);
    assert!(case.violated_guarantees().is_empty());
    case.add_opening("i-1", case.now + 2 * OUTAGE_BOUND);
    assert_eq!(case.violated_guarantees(), ["data centre out of service"]);
}

#[test]
fn opening_on_a_dropped_route_is_found_after_the_bound() {
    let mut case = Case::new();
    let now = case.now;
    case.history.routes.entry(SERVICE).and_modify(|route| route.dropped = Some(now));
    case.add_opening("i-1", now + CONFIG_BOUND);
    assert!(case.violated_guarantees().is_empty());
    case.add_opening("i-1", now + 2 * CONFIG_BOUND);
    assert_eq!(case.violated_guarantees(), ["configuration in force"]);
}

#[test]
fn openings_at_a_cold_target_are_counted_in_every_second() {
    let mut case = Case::new();
    let now = case.now;
    case.lifetime().started = now;
    case.lifetime().cold = Duration::from_secs(3);
    for index in 0..COLD_FLOWS as u32 {
        case.add_opening("i-1", now + Duration::from_millis(u64::from(500 + index)));
    }
    assert!(case.violated_guarantees().is_empty());
    case.add_opening("i-1", now + Duration::from_millis(1_400));
    assert_eq!(case.violated_guarantees(), ["cold-start limit"]);
}

#[test]
fn packets_of_an_open_flow_at_another_target_are_found() {
    let mut case = Case::new();
    case.add_opening("i-1", case.now);
    case.add_strays(case.now + Duration::from_secs(1), 2);
    assert!(case.violated_guarantees().is_empty());
    case.add_strays(case.now + Duration::from_secs(1), 1);
    assert_eq!(case.violated_guarantees(), ["flow affinity"]);
}

#[test]
fn packets_of_an_open_flow_are_let_pass_through_a_disturbed_instance() {
    let mut case = Case::new();
    case.add_opening("i-1", case.now);
    case.add_strays(case.now + Duration::from_secs(1), 3);
    case.add_disturbance(Subject::Instance(VIA), case.now);
    assert!(case.violated_guarantees().is_empty());
}

#[test]
fn reset_of_an_open_flow_is_found() {
    let mut case = Case::new();
    case.add_opening("i-1", case.now);
    case.add_failed_flow(FlowError::ResetBySystem, true);
    case.add_disturbance(Subject::Target("i-2".into()), case.now);
    assert_eq!(case.violated_guarantees(), ["open flows are not reset"]);
}

#[test]
fn reset_of_an_open_flow_is_let_pass_when_its_target_is_disturbed() {
    let mut case = Case::new();
    case.add_opening("i-1", case.now);
    case.add_failed_flow(FlowError::ResetBySystem, true);
    case.add_disturbance(Subject::Target("i-1".into()), case.now);
    assert!(case.violated_guarantees().is_empty());
}

#[test]
fn loss_in_quiet_times_is_found_also_beside_planned_stops() {
    let mut case = Case::new();
    let (subject, now) = (Subject::Instance(VIA), case.now);
    let until = Some(now);
    case.history.disturbances.push(Disturbance { subject, from: now, until, is_planned: true });
    case.add_failed_flow(FlowError::Deadline, true);
    assert_eq!(case.violated_guarantees(), ["availability without faults"]);
}

#[test]
fn refusal_of_a_new_route_in_force_is_found() {
    let mut case = Case::new();
    case.add_failed_flow(FlowError::ResetBySystem, false);
    case.add_disturbance(Subject::Instance(Ipv4Addr::new(127, 2, 0, 9)), case.now);
    assert_eq!(case.violated_guarantees(), ["configuration in force"]);
}

#[test]
fn wrong_answer_is_found_whatever_was_disturbed() {
    let mut case = Case::new();
    case.add_failed_flow(FlowError::WrongAnswer, true);
    case.add_disturbance(Subject::Host, case.now);
    assert_eq!(case.violated_guarantees(), ["answers intact"]);
}
