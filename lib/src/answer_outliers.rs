//! Answers that took far longer than usual, as one instance observes them.
//!
//! Load pattern: an instance sees a few answers a second, spread over many targets and several
//! routes, whose requests take different times. Of any target's requests a few per cent are many
//! times as long as the others. So an answer is compared with the median of its own route, and is
//! only counted here: [`crate::target_weight`] concludes from the counts of many instances. Targets
//! of different data centres are kept apart, since the round trip is part of the time.
//!
//! An instance with few cores is often kept from running, and then all answers seem slow. Answers
//! that overlap such a pause are left out, and so are those of a service whose answers are mostly
//! slow here.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_counts::{AnswerCounts, RecentAnswers};
use crate::collections::HashMap;
use crate::ids::{DataCentreId, ServiceId};

/// Multiple of the typical time from which an answer is an outlier.
pub const OUTLIER_FACTOR: u32 = 3;
/// Least excess of an outlier over the typical time. It exceeds the delays of an instance that is
/// busy but not kept from running.
pub const MIN_EXCESS: Duration = Duration::from_millis(60);
/// Share of a route's latency objective that an outlier exceeds at least, as a divisor. A shorter
/// delay costs callers nothing.
pub const AIM_DIVISOR: u32 = 5;
/// Number of latest answers of which the typical time is the median.
pub const MEDIAN_ANSWERS: usize = 31;
/// Number of answers from which the typical time is known.
pub const MIN_MEDIAN_ANSWERS: usize = 9;
/// Time between two ticks from which the instance counts as having been kept from running.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(90);
/// Share of slow answers of a service from which the fault is taken for the instance's own.
const MAX_LOCAL_OUTLIER_SHARE: f64 = 0.5;
/// Recent answers from which the share of slow ones is meaningful.
const MIN_LOCAL_ANSWERS: f64 = 4.0;
/// Time after which the typical time of a route without answers is forgotten.
const TYPICAL_TIME_RETENTION: Duration = Duration::from_secs(60);

/// Answer that an instance observed, or a request that has waited for its answer for a time.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAnswer<'a> {
    /// Index of the target.
    pub target: usize,
    /// Service of the target.
    pub service: &'a ServiceId,
    /// Data centre of the target.
    pub data_centre: &'a DataCentreId,
    /// Address of the route.
    pub route: SocketAddrV4,
    /// Latency objective of the route's requests.
    pub aim: Duration,
    /// Time from the request to the answer.
    pub time: Duration,
}

/// Median of the latest answers of one route from one data centre.
#[derive(Debug)]
struct TypicalTime {
    latest: VecDeque<Duration>,
    updated_at: Instant,
}

impl TypicalTime {
    fn median(&self) -> Option<Duration> {
        let mut times: Vec<_> = self.latest.iter().copied().collect();
        let middle = times.len() / 2;
        let is_known = times.len() >= MIN_MEDIAN_ANSWERS;
        is_known.then(|| *times.select_nth_unstable(middle).1)
    }

    fn record(&mut self, time: Duration, now: Instant) {
        if self.latest.len() >= MEDIAN_ANSWERS {
            self.latest.pop_front();
        }
        self.latest.push_back(time);
        self.updated_at = now;
    }
}

/// Answers that this instance observed.
#[derive(Debug, Default)]
pub struct AnswerOutliers {
    typical: HashMap<(SocketAddrV4, DataCentreId), TypicalTime>,
    by_service: HashMap<ServiceId, RecentAnswers>,
    /// Counts by service and target since the last batch.
    batch: BTreeMap<ServiceId, BTreeMap<usize, AnswerCounts>>,
    ticked_at: Option<Instant>,
    /// End of the last pause in which the instance did not run.
    resumed_at: Option<Instant>,
}

impl AnswerOutliers {
    /// Notices whether the instance was kept from running since the last tick.
    pub fn on_tick(&mut self, now: Instant) {
        if self.is_after_pause(now) {
            self.resumed_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    /// Records an answer, unless this instance was kept from running meanwhile. Answers of routes
    /// without a latency objective are not recorded.
    pub fn record(&mut self, answer: &ObservedAnswer<'_>, now: Instant) {
        let is_disturbed =
            self.resumed_at.is_some_and(|at| now.saturating_duration_since(at) < answer.time);
        if answer.aim.is_zero() || is_disturbed || self.is_after_pause(now) {
            return;
        }
        let key = (answer.route, answer.data_centre.clone());
        let new_time = || TypicalTime { latest: VecDeque::new(), updated_at: now };
        let typical = self.typical.entry(key).or_insert_with(new_time);
        let median = typical.median();
        typical.record(answer.time, now);
        let Some(median) = median else { return };
        let counts = AnswerCounts::of_one(answer.time >= outlier_time(median, answer.aim));
        let service = answer.service;
        let recent = self.by_service.entry(service.clone());
        recent.or_insert_with(|| RecentAnswers::new(now)).add(counts, now);
        let targets = self.batch.entry(service.clone()).or_default();
        targets.entry(answer.target).or_default().add(counts);
    }

    /// Returns the time from which an answer of a route from a data centre is an outlier; `None` until
    /// its typical time is known.
    pub fn outlier_time(
        &self,
        route: SocketAddrV4,
        data_centre: &DataCentreId,
        aim: Duration,
    ) -> Option<Duration> {
        let median = self.typical.get(&(route, data_centre.clone()))?.median()?;
        Some(outlier_time(median, aim))
    }

    /// Returns whether this instance was kept from running since a time.
    pub fn was_paused_since(&self, since: Instant, now: Instant) -> bool {
        self.resumed_at.is_some_and(|at| at > since) || self.is_after_pause(now)
    }

    /// Returns the share of slow answers of a service at this instance, from 0 to 1.
    pub fn outlier_share(&self, service: &str, now: Instant) -> f64 {
        self.by_service.get(service).map_or(0.0, |recent| recent.sums(now).outlier_share())
    }

    /// Returns the counts by target since the last call, without the services whose answers are
    /// mostly slow at this instance.
    pub fn take_batch(&mut self, now: Instant) -> BTreeMap<usize, AnswerCounts> {
        self.typical.retain(|_, typical| now < typical.updated_at + TYPICAL_TIME_RETENTION);
        let batch = std::mem::take(&mut self.batch);
        let usable =
            batch.into_iter().filter(|(service, _)| !self.is_slow_as_a_whole(service, now));
        usable.flat_map(|(_, targets)| targets).collect()
    }

    /// Returns whether most of a service's answers are slow at this instance, which points to a fault
    /// of its own.
    pub fn is_slow_as_a_whole(&self, service: &str, now: Instant) -> bool {
        self.by_service.get(service).is_some_and(|recent| {
            let sums = recent.sums(now);
            sums.answers >= MIN_LOCAL_ANSWERS && sums.outlier_share() > MAX_LOCAL_OUTLIER_SHARE
        })
    }

    fn is_after_pause(&self, now: Instant) -> bool {
        self.ticked_at.is_some_and(|at| now.saturating_duration_since(at) > MAX_TICK_GAP)
    }
}

/// Returns the time from which an answer is an outlier.
fn outlier_time(typical: Duration, aim: Duration) -> Duration {
    (typical * OUTLIER_FACTOR).max(typical + MIN_EXCESS).max(aim / AIM_DIVISOR)
}
