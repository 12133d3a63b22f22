//! Reports of counts in a data centre with more groups of targets than an instance reports to at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hollyhead::answer_counts::AnswerCounts;
use hollyhead::answer_reports::{AnswerReports, MAX_COUNT_AGE, REPORTS_PER_INTERVAL};
use hollyhead::cookie::CookieHasher;
use hollyhead::route::{Registration, RegistrationState};
use hollyhead::target_table::TargetTable;
use smol_str::format_smolstr;
use tokio::time::Instant;

const TARGETS: usize = 160;

fn table(count: usize, now: Instant) -> TargetTable {
    let mut targets = TargetTable::new("front-1".into(), CookieHasher::new([7; 16]));
    for number in 0..count {
        let registration = Registration {
            target: format_smolstr!("target-{number}"),
            token: number as u64,
            service: "index".into(),
            address: SocketAddr::from(([10, 128, 0, 1], 8_000 + number as u16)),
            data_centre: "a".into(),
            state: RegistrationState::Ready,
            slots: 2,
            cold_left: Duration::ZERO,
            started: 1,
        };
        targets.update(&registration, now);
    }
    targets
}

fn one_answer_each() -> BTreeMap<usize, AnswerCounts> {
    (0..TARGETS).map(|target| (target, AnswerCounts::of_one(false))).collect()
}

/// One answer of each of 160 targets, in three groups.
#[test]
fn take_due_reports_to_all_groups_in_turn() {
    let now = Instant::now();
    let targets = table(TARGETS, now);
    let mut reports = AnswerReports::default();
    let mut batch = one_answer_each();
    let mut reported = Vec::new();
    for _ in 0..3 {
        let due = reports.take_due(std::mem::take(&mut batch), &targets, now);
        assert!(due.len() <= REPORTS_PER_INTERVAL);
        reported.extend(due.into_iter().flat_map(|report| report.counts));
    }
    assert_eq!(reported.into_iter().collect::<BTreeMap<_, _>>(), one_answer_each());
}

/// A 129th target starts, and with it a third group.
#[test]
fn take_due_few_targets_change_their_group() {
    let now = Instant::now();
    let groups = |count| {
        let (targets, mut groups) = (table(count, now), BTreeMap::new());
        let mut reports = AnswerReports::default();
        let mut batch = one_answer_each();
        batch.retain(|target, _| *target < 128);
        while groups.len() < 128 {
            for due in reports.take_due(std::mem::take(&mut batch), &targets, now) {
                groups.extend(due.counts.iter().map(|(target, _)| (*target, due.group.clone())));
            }
        }
        groups
    };
    let (before, after) = (groups(128), groups(129));
    let moved = before.iter().filter(|(target, group)| after[*target] != **group).count();
    assert!(moved * 100 <= 128 * 45, "{moved} of 128 moved");
}

#[test]
fn take_due_old_counts_are_discarded() {
    let now = Instant::now();
    let targets = table(TARGETS, now);
    let mut reports = AnswerReports::default();
    reports.take_due(one_answer_each(), &targets, now);
    assert!(reports.take_due(BTreeMap::new(), &targets, now + MAX_COUNT_AGE).is_empty());
}
