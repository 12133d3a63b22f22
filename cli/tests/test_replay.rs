//! Tests that the exit code of `hollyhead replay` reports whether the expected outcomes were met, and
//! that a malformed trace is rejected with its file and line.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const HEADER: &str = r#"{"format":"hollyhead-trace","version":1,"seed":7}"#;

fn replay(name: &str, text: &str) -> Output {
    let trace = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&trace, text).unwrap();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let outcomes: PathBuf = root.join("traces/abay-shift-change.outcomes.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhead"));
    command.arg("replay").arg(&trace).arg("--outcomes").arg(outcomes);
    command.output().unwrap()
}

#[test]
fn replay_held_outcomes_exits_0() {
    let start = r#"{"at_ms":0,"event":{"start":{"instance":"a","data_centre":"east-a"}}}"#;
    let output = replay("quiet.jsonl", &format!("{HEADER}\n{start}\n"));
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("not observed  broken_flows"));
}

#[test]
fn replay_missed_outcome_exits_1() {
    let start = r#"{"at_ms":0,"event":{"start":{"instance":"a","data_centre":"east-a"}}}"#;
    let packet = concat!(
        r#"{"at_ms":1000,"event":{"packet":{"caller":"192.0.2.1:40000","#,
        r#""service":"10.0.0.1:7000","opens":true}}}"#
    );
    let output = replay("missed.jsonl", &format!("{HEADER}\n{start}\n{packet}\n"));
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("a: dropped: no service has the address 10.0.0.1:7000"), "{text}");
}

#[test]
fn replay_faulty_line_exits_2() {
    let output = replay("faulty.jsonl", &format!("{HEADER}\n{{\"at_ms\":\"x\"}}\n"));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("faulty.jsonl:2: at_ms: invalid type"));
}
