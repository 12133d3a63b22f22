//! Work of the requests of each route: the time for which one occupies a slot of a target, learned
//! from the times that targets took to answer.
//!
//! Load pattern: answer times contain the queue of a busy target, and a few requests take several
//! times as long as the others. A low quantile over a long window is little affected by either. A
//! full target turns a request away only after about as long as its queue takes, so the answer time
//! does not show it. Its answers have far fewer bytes than the usual ones of the route.
//!
//! This is what a typical request needs, and serves to judge whether an opening can still be
//! answered in time. The mean work, from which capacity follows, is in [`crate::service_demand`].

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::flow_tracker::AnswerTime;
use crate::ids::{RouteId, ServiceId};

/// Length of a window. The work is estimated from the current window and the one before.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Number of samples from which an estimate is used.
pub const MIN_SAMPLES: u64 = 20;
/// Quantile of the answer times that is taken as the work. Higher ones contain the queue of the
/// targets.
const WORK_QUANTILE: f64 = 0.25;
/// Quantile of the lengths of answers that is taken as the usual length.
const LENGTH_QUANTILE: f64 = 0.5;
/// Part of the usual length below which an answer counts as turned away.
const TURNED_AWAY_DIVISOR: u64 = 4;
/// Number of samples after which the quantile is computed again, which takes a pass over both
/// histograms.
const ESTIMATE_PERIOD: u64 = 16;
const MAX_WORK_MICROS: u64 = 60_000_000;
const MAX_LENGTH_BYTES: u64 = 1 << 24;
/// One significant digit keeps a histogram near 1 KB, and its error is far below the spread of the
/// samples.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Kind of an answer, judged by its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target ran the request.
    Served,
    /// The target answered far too briefly to have run the request, so it was full.
    TurnedAway,
}

/// Learns the work of each route and of each service.
#[derive(Debug, Default)]
pub struct RouteWork {
    routes: HashMap<RouteId, Samples>,
    services: HashMap<ServiceId, Samples>,
    lengths: HashMap<RouteId, Samples>,
    /// Start of the current window; `None` before the first sample.
    window_start: Option<Instant>,
}

impl RouteWork {
    /// Records an answer to a request of a route, and returns whether the target ran the request.
    /// Answers of full targets affect neither the work nor the usual length.
    pub fn record(
        &mut self,
        route: &RouteId,
        service: &ServiceId,
        answer: &AnswerTime,
        now: Instant,
    ) -> Answer {
        self.rotate(now);
        let usual_length = self.lengths.get(route).and_then(|it| it.value);
        let length = u64::from(answer.length);
        if usual_length.is_some_and(|usual| length < usual / TURNED_AWAY_DIVISOR) {
            return Answer::TurnedAway;
        }
        self.lengths.entry(route.clone()).or_insert_with(Samples::of_length).record(length);
        if let Some(work) = answer.time_at_target() {
            let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
            self.routes.entry(route.clone()).or_insert_with(Samples::of_work).record(micros);
            self.services.entry(service.clone()).or_insert_with(Samples::of_work).record(micros);
        }
        Answer::Served
    }

    /// Returns the work of a request of a route, or that of its service while the route has too few
    /// samples; `None` if the service has too few as well.
    pub fn work(&self, route: &str, service: &str) -> Option<Duration> {
        let of_route = self.routes.get(route).and_then(Samples::work);
        of_route.or_else(|| self.service_work(service))
    }

    /// Returns the work of a request of a service, over all of its routes; `None` while there are
    /// too few samples.
    fn service_work(&self, service: &str) -> Option<Duration> {
        self.services.get(service).and_then(Samples::work)
    }

    /// Starts a new window if it is due, and forgets routes and services without samples in the
    /// last window.
    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(*self.window_start.get_or_insert(now));
        if age < WINDOW {
            return;
        }
        self.window_start = Some(now);
        let keeps_last = age < 2 * WINDOW;
        self.routes.retain(|_, samples| samples.rotate(keeps_last));
        self.services.retain(|_, samples| samples.rotate(keeps_last));
        self.lengths.retain(|_, samples| samples.rotate(keeps_last));
    }
}

/// Values of the current window and of the one before, and a quantile of both.
#[derive(Debug)]
struct Samples {
    quantile: f64,
    max: u64,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    /// Quantile of both windows; `None` while there are too few samples.
    value: Option<u64>,
}

impl Samples {
    fn of_work() -> Self {
        Self::new(WORK_QUANTILE, MAX_WORK_MICROS)
    }

    fn of_length() -> Self {
        Self::new(LENGTH_QUANTILE, MAX_LENGTH_BYTES)
    }

    fn new(quantile: f64, max: u64) -> Self {
        Self { quantile, max, current: None, previous: None, value: None }
    }

    fn work(&self) -> Option<Duration> {
        self.value.map(Duration::from_micros)
    }

    fn record(&mut self, value: u64) {
        self.current = self.current.take().or_else(|| new_histogram(self.max));
        if let Some(current) = &mut self.current {
            current.saturating_record(value.clamp(1, self.max));
        }
        if self.value.is_none() || self.current_len() % ESTIMATE_PERIOD == 0 {
            self.value = self.estimate();
        }
    }

    fn current_len(&self) -> u64 {
        self.current.as_ref().map_or(0, Histogram::len)
    }

    /// Starts a new window, and returns whether any samples are left.
    fn rotate(&mut self, keeps_last: bool) -> bool {
        self.previous = self.current.take().filter(|_| keeps_last);
        self.value = self.estimate();
        self.previous.is_some()
    }

    fn estimate(&self) -> Option<u64> {
        let previous_len = self.previous.as_ref().map_or(0, Histogram::len);
        if previous_len + self.current_len() < MIN_SAMPLES {
            return None;
        }
        let mut all = self.previous.clone().or_else(|| new_histogram(self.max))?;
        if let Some(current) = &self.current {
            if let Err(err) = all.add(current) {
                log::error!("cannot add histograms of answers: {err}");
            }
        }
        Some(all.value_at_quantile(self.quantile))
    }
}

fn new_histogram(max: u64) -> Option<Histogram<u32>> {
    let histogram = Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS);
    histogram.inspect_err(|err| log::error!("cannot create a histogram: {err}")).ok()
}
