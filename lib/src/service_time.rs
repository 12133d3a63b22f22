//! Measured service time of a service's requests, as mean and mean deviation.

use std::time::Duration;

const MEAN_WEIGHT: u32 = 8;
const DEVIATION_WEIGHT: u32 = 4;
const DEVIATIONS: u32 = 3;

/// Measured service time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    measured: Option<Measured>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Measured {
    mean: Duration,
    deviation: Duration,
}

impl ServiceTime {
    /// Notes the service time of an answered request.
    pub fn note(&mut self, time: Duration) {
        let Some(measured) = &mut self.measured else {
            self.measured = Some(Measured { mean: time, deviation: time / 2 });
            return;
        };
        let difference = time.abs_diff(measured.mean);
        measured.deviation = smooth(measured.deviation, difference, DEVIATION_WEIGHT);
        measured.mean = smooth(measured.mean, time, MEAN_WEIGHT);
    }

    /// Returns the mean, or `None` before the first request was answered.
    pub fn mean(&self) -> Option<Duration> {
        self.measured.map(|measured| measured.mean)
    }

    /// Returns a time that few requests exceed; zero before the first request was answered.
    pub fn upper(&self) -> Duration {
        self.measured.map_or(Duration::ZERO, |it| it.mean + it.deviation * DEVIATIONS)
    }

    /// Returns how long `count` requests take on `slots` slots, or `None` while that is unknown.
    pub fn drain_time(&self, count: usize, slots: u32) -> Option<Duration> {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Some(self.mean()?.saturating_mul(count).checked_div(slots).unwrap_or(Duration::MAX))
    }
}

fn smooth(old: Duration, new: Duration, weight: u32) -> Duration {
    (old * (weight - 1) + new) / weight
}
