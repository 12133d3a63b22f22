//! Work of the requests of each route: the time for which one occupies a slot of a target, learned
//! from the times that targets took to answer.
//!
//! Load pattern: answer times contain the queue of a busy target, and a few requests take several
//! times as long as the others. A low quantile over a long window is little affected by either.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::{RouteId, ServiceId};

/// Length of a window. The work is estimated from the current window and the one before.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Number of samples from which an estimate is used.
pub const MIN_SAMPLES: u64 = 20;
/// Quantile of the answer times that is taken as the work. Higher ones contain the queue of the
/// targets.
const WORK_QUANTILE: f64 = 0.25;
/// Part of the usual work below which an answer counts as turned away. A full target answers
/// without any work.
const TURNED_AWAY_DIVISOR: u32 = 8;
const MAX_WORK_MICROS: u64 = 60_000_000;
/// One significant digit keeps a histogram near 1 KB, and its error is far below the spread of the
/// samples.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Kind of an answer, judged by the time that it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target ran the request.
    Served,
    /// The target answered far too quickly to have run the request, so it was full.
    TurnedAway,
}

/// Learns the work of each route and of each service.
#[derive(Debug, Default)]
pub struct RouteWork {
    routes: HashMap<RouteId, Samples>,
    services: HashMap<ServiceId, Samples>,
    /// Start of the current window; `None` before the first sample.
    window_start: Option<Instant>,
}

impl RouteWork {
    /// Records the time that a target took for a request of a route, without the round trip, and
    /// returns whether the target ran the request. Answers of full targets do not affect the work.
    pub fn record(
        &mut self,
        route: &RouteId,
        service: &ServiceId,
        work: Duration,
        now: Instant,
    ) -> Answer {
        self.rotate(now);
        let usual = self.work(route, service);
        if usual.is_some_and(|usual| work < usual / TURNED_AWAY_DIVISOR) {
            return Answer::TurnedAway;
        }
        self.routes.entry(route.clone()).or_default().record(work);
        self.services.entry(service.clone()).or_default().record(work);
        Answer::Served
    }

    /// Returns the work of a request of a route, or that of its service while the route has too few
    /// samples; `None` if the service has too few as well.
    pub fn work(&self, route: &str, service: &str) -> Option<Duration> {
        let of_route = self.routes.get(route).and_then(|samples| samples.work);
        of_route.or_else(|| self.service_work(service))
    }

    /// Returns the work of a request of a service, over all of its routes; `None` while there are
    /// too few samples.
    pub fn service_work(&self, service: &str) -> Option<Duration> {
        self.services.get(service).and_then(|samples| samples.work)
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
    }
}

/// Answer times of the current window and of the one before.
#[derive(Debug, Default)]
struct Samples {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    /// Estimate from both windows; `None` while there are too few samples.
    work: Option<Duration>,
}

impl Samples {
    fn record(&mut self, work: Duration) {
        let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
        self.current = self.current.take().or_else(new_histogram);
        if let Some(current) = &mut self.current {
            current.saturating_record(micros.clamp(1, MAX_WORK_MICROS));
        }
        self.work = self.estimate();
    }

    /// Starts a new window, and returns whether any samples are left.
    fn rotate(&mut self, keeps_last: bool) -> bool {
        self.previous = self.current.take().filter(|_| keeps_last);
        self.work = self.estimate();
        self.previous.is_some()
    }

    fn estimate(&self) -> Option<Duration> {
        let mut all = self.previous.clone().or_else(new_histogram)?;
        if let Some(current) = &self.current {
            if let Err(err) = all.add(current) {
                log::error!("cannot add histograms of answer times: {err}");
            }
        }
        let micros = all.value_at_quantile(WORK_QUANTILE);
        (all.len() >= MIN_SAMPLES).then_some(Duration::from_micros(micros))
    }
}

fn new_histogram() -> Option<Histogram<u32>> {
    let histogram = Histogram::new_with_bounds(1, MAX_WORK_MICROS, SIGNIFICANT_DIGITS);
    histogram.inspect_err(|err| log::error!("cannot create a histogram: {err}")).ok()
}
