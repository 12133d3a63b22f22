//! Replays of the shipped traces of both deployments stay within their outcome bounds.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use hollyhead::outcome_bounds::OutcomeBounds;
use hollyhead::replay::replay;
use hollyhead::replay_report::ReplayReport;
use hollyhead::trace_file::Trace;

async fn replay_shipped(name: &str) -> ReplayReport {
    replay_with_seed(name, None).await
}

/// Replays a shipped trace, with another seed than its own if one is given.
async fn replay_with_seed(name: &str, seed: Option<u64>) -> ReplayReport {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces");
    let mut trace = Trace::read(&dir.join(format!("{name}.jsonl"))).unwrap();
    trace.header.seed = seed.unwrap_or(trace.header.seed);
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

#[tokio::test(start_paused = true)]
async fn replay_archive_departure_other_seeds_hold() {
    let mut reports = Vec::new();
    for seed in 1..=5 {
        reports.push(replay_with_seed("archive-departure", Some(seed)).await);
    }
    let missed: Vec<_> = reports.iter().filter(|report| !report.is_held()).collect();
    let missed: Vec<_> = missed.iter().map(|report| report.to_string()).collect();
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}
