//! Decides from the stalled requests of a service which of its targets fail.
//!
//! Load pattern: some targets reset or never answer a part of their requests. Other requests seem to
//! stall too: when the fabric moves flows to other instances, each instance misses the answers to the
//! requests that it forwarded last, and a lost packet delays an answer. These stalls are spread over
//! all targets, while those of a failing target come together. A target fails if it has more stalls in
//! a short time than chance gives any target, by the share of targets that have one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::InstanceId;

/// Number of a target's requests in the time in which its stalls count together.
pub const WINDOW_REQUESTS: f64 = 6.0;
/// Shortest time in which the stalls of a target count together.
pub const MIN_WINDOW: Duration = Duration::from_millis(500);
/// Longest time in which the stalls of a target count together.
pub const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Largest number of stalls that one instance can report of a target in this time.
pub const MAX_STALLS_PER_REPORTER: usize = 2;
/// Number of latest stalls of a target that are kept.
const MAX_RECENT_STALLS: usize = 64;
/// Stalls of a target in its window that chance gives it at least, on average.
const MIN_CHANCE_STALLS: f64 = 0.02;
/// Probability up to which a number of stalls is not taken for chance.
const MAX_CHANCE: f64 = 0.0003;
/// Share of targets with stalls from which the service as a whole is slow.
const MAX_STALLED_SHARE: f64 = 0.5;

/// Largest share of the targets that one instance can report at the same time, in percent.
const MAX_REPORTED_PERCENT: usize = 30;
/// Number of targets up to which an instance can report all of them.
const MIN_DOUBTFUL_TARGETS: usize = 3;

/// Stalls of one target.
#[derive(Debug, Default)]
struct TargetStalls {
    /// Times and reporters, the oldest first.
    recent: VecDeque<(Instant, InstanceId)>,
}

impl TargetStalls {
    fn since(&self, since: Instant) -> impl Iterator<Item = &InstanceId> {
        let recent = self.recent.iter().filter(move |(at, _)| *at >= since);
        recent.map(|(_, reporter)| reporter)
    }

    /// Counts the stalls since a time, without those of some reporters.
    fn count(&self, since: Instant, ignored: &BTreeSet<&InstanceId>) -> StallCount {
        let mut by_reporter: BTreeMap<&InstanceId, usize> = BTreeMap::new();
        for reporter in self.since(since).filter(|reporter| !ignored.contains(reporter)) {
            *by_reporter.entry(reporter).or_default() += 1;
        }
        let stalls = by_reporter.values().map(|count| (*count).min(MAX_STALLS_PER_REPORTER)).sum();
        StallCount { stalls, reporters: by_reporter.len() }
    }
}

/// Number of stalls of a target, and of the instances that reported them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallCount {
    /// Number of stalls.
    pub stalls: usize,
    /// Number of instances that reported one.
    pub reporters: usize,
}

/// Recent stalls of the targets of one service.
#[derive(Debug, Default)]
pub struct StallEvidence {
    targets: BTreeMap<usize, TargetStalls>,
}

impl StallEvidence {
    /// Records stalled requests of a target that an instance reported.
    pub fn record(&mut self, target: usize, reporter: &InstanceId, stalls: u32, now: Instant) {
        let recent = &mut self.targets.entry(target).or_default().recent;
        for _ in 0..(stalls as usize).min(MAX_STALLS_PER_REPORTER) {
            recent.push_back((now, reporter.clone()));
        }
        let excess = recent.len().saturating_sub(MAX_RECENT_STALLS);
        recent.drain(..excess);
    }

    /// Takes back stalls that an instance reported, since the requests have been answered.
    pub fn retract(&mut self, target: usize, reporter: &InstanceId, stalls: u32) {
        let Some(target) = self.targets.get_mut(&target) else { return };
        for _ in 0..stalls {
            let last = target.recent.iter().rposition(|(_, id)| id == reporter);
            let Some(index) = last else { return };
            target.recent.remove(index);
        }
    }

    /// Forgets the stalls of a target, for example after its restart.
    pub fn forget(&mut self, target: usize) {
        self.targets.remove(&target);
    }

    /// Returns whether no stalls are known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Forgets stalls that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.targets.retain(|_, target| {
            while target.recent.front().is_some_and(|(at, _)| now >= *at + MAX_WINDOW) {
                target.recent.pop_front();
            }
            !target.recent.is_empty()
        });
    }

    /// Returns the targets that fail, with their stalls. `requests_per_second` returns the rate of a
    /// target's requests as far as it is known, and `peers` the number of targets among which its
    /// stalls are counted. At least `min_reporters` instances must have reported a target.
    pub fn failures(
        &self,
        requests_per_second: impl Fn(usize) -> Option<f64>,
        peers: impl Fn(usize) -> usize,
        min_reporters: usize,
        now: Instant,
    ) -> Vec<(usize, StallCount)> {
        let Some(first) = self.targets.keys().next() else { return Vec::new() };
        let doubtful = self.doubtful_reporters(peers(*first), now);
        let counts: Vec<_> = self
            .targets
            .iter()
            .map(|(target, stalls)| {
                let since = now.checked_sub(window(requests_per_second(*target))).unwrap_or(now);
                (*target, stalls.count(since, &doubtful))
            })
            .collect();
        let stalled = counts.iter().filter(|(_, count)| count.stalls > 0).count();
        let is_failure = |(target, count): &(usize, StallCount)| {
            // A target says nothing about what chance gives to itself.
            let stalled_others = stalled - usize::from(count.stalls > 0);
            let share = stalled_others as f64 / peers(*target).max(1) as f64;
            // One or two targets say little about the share of them that stalls by chance.
            let is_known = stalled_others >= 2;
            count.reporters >= min_reporters
                && (!is_known || share <= MAX_STALLED_SHARE)
                && count.stalls >= min_stalls(chance_stalls(share))
        };
        counts.into_iter().filter(is_failure).collect()
    }

    /// Returns the instances that report stalls of so many targets that the fault is theirs.
    fn doubtful_reporters(&self, targets: usize, now: Instant) -> BTreeSet<&InstanceId> {
        let since = now.checked_sub(MIN_WINDOW).unwrap_or(now);
        let mut counts: BTreeMap<&InstanceId, usize> = BTreeMap::new();
        for target in self.targets.values() {
            let reporters: BTreeSet<_> = target.since(since).collect();
            for reporter in reporters {
                *counts.entry(reporter).or_default() += 1;
            }
        }
        let most = (targets * MAX_REPORTED_PERCENT / 100).max(MIN_DOUBTFUL_TARGETS);
        counts.retain(|_, count| *count > most);
        counts.into_keys().collect()
    }
}

/// Returns the time in which the stalls of a target count together.
fn window(requests_per_second: Option<f64>) -> Duration {
    let Some(rate) = requests_per_second.filter(|rate| *rate > 0.0) else { return MIN_WINDOW };
    Duration::from_secs_f64((WINDOW_REQUESTS / rate).min(MAX_WINDOW.as_secs_f64())).max(MIN_WINDOW)
}

/// Returns the mean number of stalls of a target, if they are spread by chance and a share of the
/// targets has one.
fn chance_stalls(share: f64) -> f64 {
    let share = share.min(MAX_STALLED_SHARE);
    (-(1.0 - share).ln()).max(MIN_CHANCE_STALLS)
}

/// Returns the least number of stalls that is not taken for chance, where chance gives `mean` on
/// average, by the Poisson distribution.
fn min_stalls(mean: f64) -> usize {
    let (mut probability, mut tail, mut count) = ((-mean).exp(), 1.0, 0);
    while tail > MAX_CHANCE {
        tail -= probability;
        count += 1;
        probability *= mean / count as f64;
    }
    count
}
