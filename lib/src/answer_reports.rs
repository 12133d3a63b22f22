//! Reports of answer counts to the instances that collect them.
//!
//! The targets of a data centre are divided into groups, and one instance collects the counts of a
//! group, chosen by rendezvous hashing. An instance reports to a few groups at a time, in turn, so
//! that its bytes do not grow with the number of targets. Counts that are not sent in time are
//! discarded: an unbiased sample of the answers is enough.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_counts::AnswerCounts;
use crate::directory_message::TargetAnswers;
use crate::ids::DataCentreId;
use crate::owner::{rank_key, score, seed};
use crate::target_table::TargetTable;
use crate::view::{Member, View};

/// Time between two reports of an instance.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Largest number of groups, and thus of datagrams, in each interval.
pub const REPORTS_PER_INTERVAL: usize = 2;
/// Largest number of targets in a datagram.
pub const MAX_REPORTED_TARGETS: usize = 64;
/// Number of targets for which a data centre has one group.
pub const TARGETS_PER_GROUP: usize = 64;
/// Age from which counts are no longer sent.
pub const MAX_COUNT_AGE: Duration = Duration::from_secs(6);
/// Subject of the hash that assigns targets to groups.
const GROUP_SUBJECT: &str = "answer-reports";

/// Group of targets of one data centre whose counts one instance collects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportGroup {
    data_centre: DataCentreId,
    number: u64,
}

impl ReportGroup {
    /// Returns the instance that collects the counts of the group: one in the data centre of the
    /// targets, or any if there is none. `None` if there is no instance at all.
    pub fn collector<'a>(&self, view: &'a View) -> Option<&'a Member> {
        let eligible = || view.members().iter().filter(|member| member.is_eligible());
        let local = |member: &&Member| member.data_centre == self.data_centre;
        let rank = |member: &&Member| rank_key(&self.data_centre, &member.id, self.number).0;
        let nearest = eligible().filter(local).max_by_key(rank);
        nearest.or_else(|| eligible().max_by_key(rank))
    }
}

/// Counts of one group that are due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueReport {
    /// Group that the counts belong to.
    pub group: ReportGroup,
    /// Counts by target.
    pub counts: Vec<(usize, AnswerCounts)>,
}

#[derive(Debug)]
struct PendingCounts {
    counts: AnswerCounts,
    since: Instant,
}

/// Counts that have not been reported yet.
#[derive(Debug, Default)]
pub struct AnswerReports {
    pending: BTreeMap<usize, PendingCounts>,
    last_group: Option<ReportGroup>,
}

impl AnswerReports {
    /// Adds counts, and returns the reports that are sent now.
    pub fn take_due(
        &mut self,
        batch: BTreeMap<usize, AnswerCounts>,
        targets: &TargetTable,
        now: Instant,
    ) -> Vec<DueReport> {
        self.pending.retain(|_, pending| now < pending.since + MAX_COUNT_AGE);
        for (target, counts) in batch {
            let new_counts = || PendingCounts { counts: AnswerCounts::default(), since: now };
            self.pending.entry(target).or_insert_with(new_counts).counts.add(counts);
        }
        if self.pending.is_empty() {
            return Vec::new();
        }
        let mut by_group = self.by_group(targets);
        let mut groups: Vec<_> = by_group.keys().cloned().collect();
        let is_served =
            |group: &ReportGroup| self.last_group.as_ref().is_some_and(|it| group <= it);
        let first = groups.partition_point(is_served);
        groups.rotate_left(first);
        groups.truncate(REPORTS_PER_INTERVAL);
        self.last_group = groups.last().cloned();
        let due = groups.into_iter().map(|group| {
            let mut members = by_group.remove(&group).unwrap_or_default();
            members.truncate(MAX_REPORTED_TARGETS);
            DueReport { counts: self.take(&members), group }
        });
        due.collect()
    }

    fn take(&mut self, targets: &[usize]) -> Vec<(usize, AnswerCounts)> {
        let counts = targets.iter().filter_map(|target| {
            let pending = self.pending.remove(target)?;
            Some((*target, pending.counts))
        });
        counts.collect()
    }

    fn by_group(&self, targets: &TargetTable) -> BTreeMap<ReportGroup, Vec<usize>> {
        let group_counts = group_counts(targets);
        let mut groups: BTreeMap<ReportGroup, Vec<usize>> = BTreeMap::new();
        for target in self.pending.keys() {
            let group = group_among(*target, &group_counts, targets);
            groups.entry(group).or_default().push(*target);
        }
        groups
    }
}

/// Returns the group of a target.
pub fn group_of(target: usize, targets: &TargetTable) -> ReportGroup {
    group_among(target, &group_counts(targets), targets)
}

fn group_among(
    target: usize,
    group_counts: &BTreeMap<DataCentreId, u64>,
    targets: &TargetTable,
) -> ReportGroup {
    let registration = &targets.get(target).registration;
    let data_centre = registration.data_centre.clone();
    let count = group_counts.get(&data_centre).copied().unwrap_or(1);
    let number = group_number(&registration.target, count);
    ReportGroup { data_centre, number }
}

/// Returns the group of a target by rendezvous hashing, so that a further group takes over only its
/// own part of the targets.
fn group_number(target: &str, groups: u64) -> u64 {
    let hash = seed(GROUP_SUBJECT, target);
    (0..groups).max_by_key(|group| score(hash, *group)).unwrap_or_default()
}

/// Returns the number of groups of each data centre that has targets in use.
fn group_counts(targets: &TargetTable) -> BTreeMap<DataCentreId, u64> {
    let mut counts: BTreeMap<DataCentreId, usize> = BTreeMap::new();
    let entries = targets.indices().map(|index| targets.get(index));
    for entry in entries.filter(|entry| entry.accepts_new_flows()) {
        *counts.entry(entry.registration.data_centre.clone()).or_default() += 1;
    }
    let groups = |targets: usize| targets.div_ceil(TARGETS_PER_GROUP) as u64;
    counts.into_iter().map(|(data_centre, targets)| (data_centre, groups(targets))).collect()
}

/// Returns the entries of a report on the wire, in which a target is named by its cookie.
pub fn wire_counts(counts: &[(usize, AnswerCounts)], targets: &TargetTable) -> Vec<TargetAnswers> {
    let entry = |(target, counts): &(usize, AnswerCounts)| TargetAnswers {
        cookie: targets.get(*target).cookie,
        answers: counts.answers,
        outliers: counts.outliers,
    };
    counts.iter().map(entry).collect()
}
