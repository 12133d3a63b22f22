//! Log lines alone explain the decisions on a flow.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use hollyhead::log_chain::{related_lines, LogLine};

/// Collected log lines, each after the collector's timestamp and the name of the machine, with one
/// line that is truncated.
const LOG: &str = r#"
0.0000 front-1 {"instance":"front-1","level":"INFO","message":"started","time":"2026-01-09T21:18:45.000Z"}
0.1860 front-1 {"caller":"100.65.0.13:1034","condition":"Some(Answering)","cookie":"0","copy":"0","instance":"front-1","left_out":"0","message":"decision on a flow","outcome":"placed","reason":"opened","routing_age_ms":"4243","routing_version":"4","service":"198.18.0.1:8443","target":"i-fb30","time":"2026-01-09T21:18:45.189Z"}
0.2000 front-1 {"caller":"100.65.0.14:1034","condition":"Some(Answering)","copy":"0","instance":"front-1","left_out":"0","message":"decision on a flow","outcome":"placed","reason":"opened","routing_age_ms":"4243","routing_version":"4","service":"198.18.0.1:8443","target":"i-0001","time":"2026-01-09T21:18:45.200Z"}
0.5000 front-2 {"instance":"front-2","message":"health of a target checked","outcome":"Healthy","target":"i-fb30","time":"2026-01-09T21:18:45.571Z"}
0.5000 front-2 {"instance":"front-2","message":"health of a target checked","outcome":"Silent","target":"i-0001","time":"2026-01-09T21:18:45.571Z"}
0.5990 front-1 {"instance":"front-1","message":"data centres out","out":"horn-east-b","time":"2026-01-09T21:18:45.599Z"}
cut sh{"instance
5.0357 front-1 {"caller":"100.65.0.13:1034","condition":"Some(Answering)","copy":"0","instance":"front-1","left_out":"3","message":"decision on a flow","outcome":"dropped","reason":"outage","routing_age_ms":"212","routing_version":"11","service":"198.18.0.1:8443","target":"i-fb30","time":"2026-01-09T21:18:50.034Z"}
6.0000 front-1 {"caller":"100.65.0.15:1034","capacity":"2222","demand":"3652","instance":"front-1","left_out":"0","message":"opening decided by the room of its service","outcome":"held","own_share_per_mille":"14","precedence":"1","service":"198.18.0.1:8443","slack_ms":"310","time":"2026-01-09T21:18:51.000Z","turned_away":"410","waited_ms":"0","work_ms":"30"}
60.000 front-1 {"instance":"front-1","message":"routing in force","routes":"3","time":"2026-01-09T21:20:00.000Z","version":"12"}
"#;

fn lines() -> Vec<LogLine> {
    LOG.lines().filter_map(LogLine::parse).collect()
}

fn explain(caller: &str) -> String {
    let lines = lines();
    let sentences: Vec<_> = related_lines(&lines, caller).iter().map(ToString::to_string).collect();
    sentences.join("\n")
}

#[test]
fn parse_skips_what_is_no_log_line() {
    assert_eq!(lines().len(), 9);
}

#[test]
fn related_lines_of_a_flow_tells_its_decisions_and_what_explains_them() {
    expect![[r#"
        2026-01-09T21:18:45.000Z front-1: started
        2026-01-09T21:18:45.189Z front-1: handed the opening of 100.65.0.13:1034 to 198.18.0.1:8443 (copy 0) to target i-fb30; target answering, routing 4 confirmed 4243 ms ago
        2026-01-09T21:18:45.571Z front-2: checked target i-fb30: healthy
        2026-01-09T21:18:45.599Z front-1: data centres out now: horn-east-b
        2026-01-09T21:18:50.034Z front-1: dropped a packet of 100.65.0.13:1034: the data centre of target i-fb30 is taken out; target answering, routing 11 confirmed 212 ms ago; 3 such lines before it were left out"#]]
    .assert_eq(&explain("100.65.0.13:1034"));
}

#[test]
fn related_lines_of_a_held_opening_tells_the_room_of_its_service() {
    let opening = explain("100.65.0.15:1034");
    let opening = opening.lines().last().unwrap();
    assert!(opening.contains("held, precedence 1, waited 0 ms, 310 ms left to its aim, work 30 ms"));
    assert!(opening.ends_with("3652 requests per second ask for room for 2222, 410 turned away, 14 per mille of them here"));
}

#[test]
fn related_lines_of_an_unknown_flow_is_empty() {
    assert_eq!(explain("100.65.0.99:1"), "");
}
