//! Demand at one instance: decaying rates per service of the requests of its callers.
//!
//! Load pattern: the fabric spreads the callers of a data centre evenly over its instances, so an
//! instance sees a sample of the demand, about 20 requests per second, which may move to another
//! data centre within a second. Requests are counted, not packets or flows, since a long flow sends
//! many requests over its life.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::flow_tracker::AnswerTime;
use crate::ids::ServiceId;
use crate::room::Demand;
use crate::route_work::Answer;

/// Time in which a decaying rate forgets all but 1/e of its events.
pub const RATE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Least rate that is reported.
const MIN_EVENTS_PER_SECOND: f64 = 0.005;
/// Answers of one block.
const BLOCK_ANSWERS: usize = 32;
/// Number of latest blocks from which the work of a request is estimated.
const MAX_BLOCKS: usize = 16;
/// Age from which a block is dropped when the next one is complete. Without answers the last estimate
/// stays.
const MAX_BLOCK_AGE: Duration = Duration::from_secs(60);
/// Median of a block relative to the least one, from which its answers are taken to include waiting
/// in the queues of busy targets.
const WAITING_MEDIAN_RATIO: f64 = 1.25;
/// Least work of a request.
const MIN_WORK: Duration = Duration::from_millis(1);

/// Rate of events, which forgets old events exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    events: f64,
    updated_at: Option<Instant>,
}

impl DecayingRate {
    /// Records one event.
    pub fn record(&mut self, now: Instant) {
        self.events = self.decayed(now) + 1.0;
        self.updated_at = Some(now);
    }

    /// Returns the number of events per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(at);
        self.events * (-age.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Summary of consecutive answers.
#[derive(Clone, Copy, Debug)]
struct Block {
    median: Duration,
    mean: Duration,
    ended_at: Instant,
}

/// Estimate of the mean time for which a request occupies a slot, from the blocks of answers that
/// include no waiting. A few requests that take many times as long count as what they are.
#[derive(Clone, Debug, Default)]
struct WorkEstimate {
    times: Vec<Duration>,
    blocks: VecDeque<Block>,
}

impl WorkEstimate {
    fn record(&mut self, time: Duration, now: Instant) {
        self.times.push(time);
        if self.times.len() < BLOCK_ANSWERS {
            return;
        }
        self.times.sort_unstable();
        let median = self.times[BLOCK_ANSWERS / 2].max(MIN_WORK);
        let mean = self.times.iter().sum::<Duration>() / BLOCK_ANSWERS as u32;
        self.times.clear();
        let is_old = |block: &Block| now >= block.ended_at + MAX_BLOCK_AGE;
        while self.blocks.len() >= MAX_BLOCKS || self.blocks.front().is_some_and(is_old) {
            self.blocks.pop_front();
        }
        self.blocks.push_back(Block { median, mean: mean.max(MIN_WORK), ended_at: now });
    }

    fn work(&self) -> Option<Duration> {
        let least = self.blocks.iter().map(|block| block.median).min()?;
        let limit = least.mul_f64(WAITING_MEDIAN_RATIO);
        let blocks = self.blocks.iter().filter(|block| block.median <= limit);
        let (count, sum) =
            blocks.fold((0, Duration::ZERO), |(count, sum), block| (count + 1, sum + block.mean));
        Some(sum / count)
    }
}

/// Rates of one service, in events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Requests, whether targets served them or not.
    pub requests: f64,
    /// Requests that went to targets of other data centres.
    pub remote_requests: f64,
    /// Flows that were placed.
    pub openings: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceRates {
    requests: DecayingRate,
    remote_requests: DecayingRate,
    turned_away: DecayingRate,
    openings: DecayingRate,
    work: WorkEstimate,
}

/// Demand of the callers whose packets this instance forwards.
#[derive(Debug, Default)]
pub struct ServiceDemand {
    services: HashMap<ServiceId, ServiceRates>,
}

impl ServiceDemand {
    /// Records that a new flow was placed.
    pub fn record_opening(&mut self, service: &ServiceId, now: Instant) {
        self.rates(service).openings.record(now);
    }

    /// Records the first packet of a request. `is_remote` tells whether its target is in another
    /// data centre.
    pub fn record_request(&mut self, service: &ServiceId, is_remote: bool, now: Instant) {
        let rates = self.rates(service);
        rates.requests.record(now);
        if is_remote {
            rates.remote_requests.record(now);
        }
    }

    /// Records a new flow that was refused since no target takes it. Its request is demand that no
    /// target served.
    pub fn record_refused(&mut self, service: &ServiceId, now: Instant) {
        let rates = self.rates(service);
        rates.requests.record(now);
        rates.turned_away.record(now);
    }

    /// Records the answer to a request.
    pub fn record_answer(
        &mut self,
        service: &ServiceId,
        answer: &AnswerTime,
        kind: Answer,
        now: Instant,
    ) {
        let rates = self.rates(service);
        match (kind, answer.time_at_target()) {
            (Answer::TurnedAway, _) => rates.turned_away.record(now),
            (Answer::Served, Some(time)) => rates.work.record(time, now),
            (Answer::Served, None) => {}
        }
    }

    /// Returns the time for which a request of a service occupies a slot; `None` until enough
    /// answers were observed.
    pub fn work(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.work.work()
    }

    /// Returns the rates of a service, all zero if it has no traffic.
    pub fn traffic(&self, service: &str, now: Instant) -> Traffic {
        let Some(rates) = self.services.get(service) else { return Traffic::default() };
        Traffic {
            requests: rates.requests.per_second(now),
            remote_requests: rates.remote_requests.per_second(now),
            openings: rates.openings.per_second(now),
        }
    }

    /// Returns the demand for each service that has any.
    pub fn demands(&self, now: Instant) -> Vec<(ServiceId, Demand)> {
        let demand = |rates: &ServiceRates| Demand {
            requests_per_second: rates.requests.per_second(now),
            turned_away_per_second: rates.turned_away.per_second(now),
        };
        let demands = self.services.iter().map(|(name, rates)| (name.clone(), demand(rates)));
        demands.filter(|(_, demand)| demand.requests_per_second >= MIN_EVENTS_PER_SECOND).collect()
    }

    fn rates(&mut self, service: &ServiceId) -> &mut ServiceRates {
        self.services.entry(service.clone()).or_default()
    }
}
