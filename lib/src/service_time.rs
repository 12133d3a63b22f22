//! Estimator of a service's request time: exponentially weighted moving averages of the time and of
//! its mean deviation.
//!
//! It works as TCP's round-trip time estimator does (RFC 6298), with the same gains.

use std::time::Duration;

/// Reciprocal of the gain by which a new sample moves the mean.
const MEAN_GAIN_DIVISOR: u32 = 8;
/// Reciprocal of the gain by which a new sample moves the mean deviation.
const DEVIATION_GAIN_DIVISOR: u32 = 4;
/// Number of mean deviations between the mean and the upper bound.
const UPPER_BOUND_DEVIATIONS: u32 = 3;

/// Estimated service time of the requests of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    estimate: Option<Estimate>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl ServiceTime {
    /// Updates the estimate by the service time of a completed request.
    pub fn observe(&mut self, time: Duration) {
        let Some(estimate) = &mut self.estimate else {
            self.estimate = Some(Estimate { mean: time, deviation: time / 2 });
            return;
        };
        let error = time.abs_diff(estimate.mean);
        estimate.deviation = smooth(estimate.deviation, error, DEVIATION_GAIN_DIVISOR);
        estimate.mean = smooth(estimate.mean, time, MEAN_GAIN_DIVISOR);
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        self.estimate.map(|estimate| estimate.mean)
    }

    /// Returns a time that few requests exceed, or zero before the first sample.
    pub fn upper_bound(&self) -> Duration {
        self.estimate.map_or(Duration::ZERO, |it| it.mean + it.deviation * UPPER_BOUND_DEVIATIONS)
    }

    /// Returns the time in which `slots` slots complete `count` requests, or `None` before the
    /// first sample. Without slots it is [`Duration::MAX`].
    pub fn drain_time(&self, count: usize, slots: u32) -> Option<Duration> {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Some(self.mean()?.saturating_mul(count).checked_div(slots).unwrap_or(Duration::MAX))
    }
}

fn smooth(old: Duration, new: Duration, gain_divisor: u32) -> Duration {
    (old * (gain_divisor - 1) + new) / gain_divisor
}
