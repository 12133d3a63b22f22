//! Replays of the shipped traces of both deployments stay within their outcome bounds.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use hollyhead::outcome_bounds::OutcomeBounds;
use hollyhead::replay::replay;
use hollyhead::replay_report::ReplayReport;
use hollyhead::trace_file::Trace;

async fn replay_shipped(name: &str) -> ReplayReport {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces");
    let trace = Trace::read(&dir.join(format!("{name}.jsonl"))).unwrap();
    let bounds = OutcomeBounds::read(&dir.join(format!("{name}.outcomes.json"))).unwrap();
    replay(&trace, bounds).await
}

#[tokio::test(start_paused = true)]
async fn replay_abay_shift_change_holds() {
    let report = replay_shipped("abay-shift-change").await;
    assert!(report.is_held(), "{report}");
}

#[tokio::test(start_paused = true)]
async fn replay_archive_departure_holds() {
    let report = replay_shipped("archive-departure").await;
    assert!(report.is_held(), "{report}");
}
