//! Trace errors name their line and field, replays are deterministic, and checks detect each miss.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;

use hollyhead::flow::FlowKey;
use hollyhead::outcome_bounds::OutcomeBounds;
use hollyhead::replay::replay;
use hollyhead::replay_callers::Callers;
use hollyhead::replay_judge::{imbalance, Arrival, Judge};
use hollyhead::replay_report::{OutcomeName, OutcomeState, ReplayReport};
use hollyhead::replay_world::World;
use hollyhead::trace_file::{ColdEvent, OpenEvent, Trace};
use serde_json::json;
use testutils::records;

const BOUNDS: &str = include_str!("../../traces/abay-shift-change.outcomes.json");
const QUAYDESK: &str = "10.0.0.1:7000";
const ROSTERBOOK: &str = "10.0.0.2:7000";

fn bounds() -> OutcomeBounds {
    OutcomeBounds::parse(Path::new("bounds.json"), BOUNDS).unwrap()
}

fn tunnel(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 7, 0, host], 6_080))
}

/// Returns a world in which targets 1 and 2 serve quaydesk in east-a and east-b, and target 3
/// serves rosterbook in east-a.
fn world() -> World {
    let mut world = World::default();
    let services = [("quaydesk", QUAYDESK), ("rosterbook", ROSTERBOOK)];
    for (name, address) in services {
        let body = records::service(name, address.parse().unwrap());
        world.apply(0, &records::object("service", 1, body));
    }
    let targets =
        [(1, "quaydesk", "east-a"), (2, "quaydesk", "east-b"), (3, "rosterbook", "east-a")];
    for (host, service, data_centre) in targets {
        let (name, at) = (format!("target-{host}"), tunnel(host));
        let body = records::target(&name, service, data_centre, at, at);
        world.apply(0, &records::object("target", 1, body));
    }
    world
}

fn callers(count: u32) -> Callers {
    let mut callers = Callers::default();
    let event = json!({
        "group": "feeds", "service": QUAYDESK, "first_caller": "192.0.2.1:20000",
        "count": count, "over_ms": 0, "keep_alive_ms": 1_000,
    });
    callers.open(0, &serde_json::from_value::<OpenEvent>(event).unwrap());
    callers.take_due(0);
    callers
}

/// Checks arrivals, each given by its time in milliseconds, the index of its flow, and the host
/// number of its target.
fn check_arrivals(
    world: &mut World,
    callers: &mut Callers,
    arrivals: &[(u64, usize, u8)],
) -> Judge {
    let mut judge = Judge::new(bounds());
    for (now, number, target) in arrivals {
        let key: FlowKey = callers.flows()[*number].key;
        let instance = "entry-1".into();
        let arrival = Arrival { now: *now, instance: &instance, tunnel: tunnel(*target), key };
        judge.on_arrival(&arrival, world, callers, &|_| Vec::new());
    }
    judge
}

#[test]
fn on_arrival_same_target_holds() {
    let (mut world, mut callers) = (world(), callers(1));
    let judge = check_arrivals(&mut world, &mut callers, &[(10, 0, 1), (1_010, 0, 1)]);
    assert!(judge.misses.into_misses().is_empty());
}

#[test]
fn on_arrival_other_target_breaks_flow() {
    let (mut world, mut callers) = (world(), callers(1));
    let judge =
        check_arrivals(&mut world, &mut callers, &[(10, 0, 1), (1_010, 0, 2), (2_010, 0, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::BrokenFlows), 1);
}

#[test]
fn on_arrival_other_service_is_missed() {
    let (mut world, mut callers) = (world(), callers(1));
    let judge = check_arrivals(&mut world, &mut callers, &[(10, 0, 3)]);
    assert_eq!(judge.misses.count(OutcomeName::WrongServicePackets), 1);
}

#[test]
fn on_arrival_silence_breaks_flow() {
    let (mut world, mut callers) = (world(), callers(1));
    check_arrivals(&mut world, &mut callers, &[(10, 0, 1)]);
    callers.take_due(1_000);
    let judge = check_arrivals(&mut world, &mut callers, &[(6_001, 0, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::BrokenFlows), 1);
}

#[test]
fn on_arrival_late_first_delivery_is_missed() {
    let (mut world, mut callers) = (world(), callers(1));
    let judge = check_arrivals(&mut world, &mut callers, &[(5_001, 0, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::OpenWaitMs), 1);
}

#[test]
fn on_arrival_data_centre_out_gives_up_flow_and_misses_late_packet() {
    let (mut world, mut callers) = (world(), callers(2));
    check_arrivals(&mut world, &mut callers, &[(10, 0, 1)]);
    let body = records::data_centre("east-a", "east", "out");
    world.apply(1_000, &records::object("data_centre", 2, body));
    let judge = check_arrivals(&mut world, &mut callers, &[(2_000, 0, 2), (6_000, 0, 1)]);
    assert!(judge.misses.into_misses().is_empty());
    let judge = check_arrivals(&mut world, &mut callers, &[(6_001, 0, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::PacketsAfterOut), 1);
}

#[test]
fn on_arrival_leaving_target_misses_late_flow_only() {
    let (mut world, mut callers) = (world(), callers(2));
    check_arrivals(&mut world, &mut callers, &[(10, 0, 1)]);
    let mut body = records::target("target-1", "quaydesk", "east-a", tunnel(1), tunnel(1));
    body["state"] = json!("leaving");
    world.apply(20, &records::object("target", 2, body));
    let judge = check_arrivals(&mut world, &mut callers, &[(5_021, 0, 1), (5_021, 1, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::FlowsAfterLeaving), 1);
}

#[test]
fn on_arrival_cold_target_counts_excess() {
    let (mut world, mut callers) = (world(), callers(3));
    world.set_cold(0, &ColdEvent { target: "target-1".into(), connections: 1, for_ms: 1_000 });
    let judge = check_arrivals(&mut world, &mut callers, &[(10, 0, 1), (10, 1, 1), (1_000, 2, 1)]);
    assert_eq!(judge.misses.count(OutcomeName::ColdExcess), 1);
}

#[test]
fn take_due_lost_packet_is_repeated_after_a_second() {
    let event = json!({
        "group": "feeds", "service": QUAYDESK, "first_caller": "192.0.2.1:20000",
        "count": 1, "over_ms": 0, "keep_alive_ms": 4_000,
    });
    let (mut world, mut callers) = (world(), Callers::default());
    callers.open(0, &serde_json::from_value::<OpenEvent>(event).unwrap());
    callers.take_due(0);
    check_arrivals(&mut world, &mut callers, &[(10, 0, 1)]);
    let mut sent = Vec::new();
    for now in (0..=9_000).step_by(10) {
        sent.extend(callers.take_due(now).into_iter().map(|_| now));
    }
    assert_eq!(sent, [4_000, 5_000, 6_000, 7_000, 8_000, 9_000]);
}

#[test]
fn imbalance_uneven_targets_is_largest_over_mean() {
    let (mut world, mut callers) = (world(), callers(4));
    check_arrivals(&mut world, &mut callers, &[(1, 0, 1), (1, 1, 1), (1, 2, 1), (1, 3, 2)]);
    assert_eq!(imbalance(&world, &callers, "feeds", 0), Some(1_500));
}

const HEADER: &str = r#"{"format":"hollyhead-trace","version":1,"seed":7}"#;

fn parse_error(line: &str) -> String {
    let text = format!("{HEADER}\n{line}\n");
    Trace::parse(Path::new("t.jsonl"), &text).unwrap_err().to_string()
}

#[test]
fn parse_faulty_value_names_line_and_field() {
    let line = r#"{"at_ms":5,"event":{"kill":{"instance":5}}}"#;
    let err = parse_error(line);
    assert!(err.starts_with("t.jsonl:2: instance: invalid type"), "{err}");
}

#[test]
fn parse_time_that_goes_back_names_line_and_field() {
    let text = format!(
        "{HEADER}\n{}\n{}\n",
        r#"{"at_ms":5,"event":"heal"}"#, r#"{"at_ms":4,"event":"heal"}"#
    );
    let err = Trace::parse(Path::new("t.jsonl"), &text).unwrap_err();
    assert_eq!(err.to_string(), "t.jsonl:3: at_ms: is earlier than the line before");
}

#[test]
fn parse_unknown_version_is_refused() {
    let text = HEADER.replace("\"version\":1", "\"version\":2");
    let err = Trace::parse(Path::new("t.jsonl"), &text).unwrap_err().to_string();
    assert!(err.starts_with("t.jsonl:1: version: 2 is not known"), "{err}");
}

/// Returns a trace in which two instances forward 50 flows to the only target of quaydesk, followed
/// by the lines in `end`.
fn small_trace(end: &str) -> Trace {
    let service = records::service("quaydesk", QUAYDESK.parse().unwrap());
    let target = records::target("target-1", "quaydesk", "east-a", tunnel(1), tunnel(1));
    let lines = [
        json!({"at_ms": 0, "event": {"put": {"kind": "service", "body": service}}}),
        json!({"at_ms": 0, "event": {"put": {"kind": "target", "body": target}}}),
        json!({"at_ms": 0, "event": {"start": {"instance": "a", "data_centre": "east-a"}}}),
        json!({"at_ms": 0, "event": {"start": {"instance": "b", "data_centre": "east-a"}}}),
        json!({"at_ms": 3_000, "event": {"open": {
            "group": "feeds", "service": QUAYDESK, "first_caller": "192.0.2.1:20000",
            "count": 50, "over_ms": 500, "keep_alive_ms": 500,
        }}}),
    ];
    let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
    let text = format!("{HEADER}\n{}\n{end}\n", lines.join("\n"));
    Trace::parse(Path::new("small.jsonl"), &text).unwrap()
}

fn state(report: &ReplayReport, name: OutcomeName) -> OutcomeState {
    report.outcome(name).unwrap().state
}

#[tokio::test(start_paused = true)]
async fn replay_quiet_trace_holds() {
    let report = replay(&small_trace(r#"{"at_ms":5000,"event":"heal"}"#), bounds()).await;
    assert!(report.is_held(), "{report}");
    assert_eq!(report.flows, 50);
    assert_eq!(state(&report, OutcomeName::PacketsAfterOut), OutcomeState::NotObserved);
}

#[tokio::test(start_paused = true)]
async fn replay_frozen_fleet_breaks_flows_and_names_event() {
    let end = concat!(
        r#"{"at_ms":5000,"event":{"freeze":{"instance":"a"}}}"#,
        "\n",
        r#"{"at_ms":5000,"event":{"freeze":{"instance":"b"}}}"#
    );
    let report = replay(&small_trace(end), bounds()).await;
    assert_eq!(state(&report, OutcomeName::BrokenFlows), OutcomeState::Broken);
    let miss = &report.misses[0];
    assert_eq!(miss.events.last().unwrap().event, r#"{"freeze":{"instance":"b"}}"#);
    assert!(!miss.steps.is_empty() && !miss.decisions.is_empty());
}

#[tokio::test(start_paused = true)]
async fn replay_same_seed_gives_same_bytes() {
    let trace = small_trace(r#"{"at_ms":5000,"event":{"kill":{"instance":"a"}}}"#);
    let first = serde_json::to_string(&replay(&trace, bounds()).await).unwrap();
    let second = serde_json::to_string(&replay(&trace, bounds()).await).unwrap();
    assert_eq!(first, second);
}
