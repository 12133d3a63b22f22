//! Slow start: limits the capacity of a target after a cold start, and detects from its traffic
//! when it is overloaded, failing or slow and has to start cold again.

use std::time::Duration;

use tokio::time::Instant;

use crate::record::{ColdStart, Target};
use crate::target::Signals;

/// Warm-up progress of a target at its full capacity, in thousandths.
pub const WARM_PER_MILLE: u16 = 1_000;
/// Time over which the outcomes of requests are collected before they are evaluated.
pub const SIGNAL_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a target stays cold after it was last marked cold, before its ramp starts.
pub const COLD_HOLD: Duration = Duration::from_secs(2);
const MIN_SAMPLES: u32 = 3;
const BAD_SIGNALS_PERCENT: u32 = 30;
const SLOW_LATENCY_FACTOR: u32 = 4;
/// Smallest excess over the baseline latency that counts as slow.
const SLOW_LATENCY_MARGIN_MS: u32 = 50;
const MIN_BASELINE_SAMPLES: u32 = 20;
/// Divisor of the exponential moving average.
const BASELINE_SMOOTHING: i64 = 16;

/// Capacity of a target, or a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of concurrent requests to the target.
    pub slots: u32,
    /// Maximum number of open connections to the target.
    pub connections: u32,
}

/// Phase of a target's slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartState {
    /// The target has its cold capacity until [`COLD_HOLD`] has passed.
    Cold {
        /// Time at which the target was last marked cold.
        since: Instant,
    },
    /// The capacity of the target increases linearly.
    Warming {
        /// Time at which the warm-up progress was `from_per_mille`.
        since: Instant,
        /// Warm-up progress at `since`, in thousandths.
        from_per_mille: u16,
    },
    /// The target has its full capacity.
    Warm,
}

/// Result of evaluating the signals of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalQuality {
    /// The window has too few requests to evaluate.
    TooFewSamples,
    /// The target answers requests at its usual latency.
    Good,
    /// The target sheds or fails too many requests, or its latency is far above the baseline.
    Bad,
}

/// Slow start of one target, tracked by its allocator.
#[derive(Clone, Debug)]
pub struct SlowStart {
    state: SlowStartState,
    least_reported: Option<u16>,
    window_start: Instant,
    window_signals: Signals,
    baseline_ms: i64,
    baseline_samples: u32,
    answered_at: Option<Instant>,
}

impl SlowStart {
    /// Creates the slow start of a new target, whose ramp starts at its cold capacity.
    pub fn new(now: Instant) -> Self {
        Self {
            state: SlowStartState::Warming { since: now, from_per_mille: 0 },
            least_reported: None,
            window_start: now,
            window_signals: Signals::default(),
            baseline_ms: 0,
            baseline_samples: 0,
            answered_at: None,
        }
    }

    /// Returns the current phase.
    pub fn state(&self) -> SlowStartState {
        self.state
    }

    /// Adopts the warm-up progress, in thousandths, that an owner received from a former allocator.
    /// The smallest of several reports takes effect.
    pub fn adopt(&mut self, reported: u16, now: Instant) {
        let least = self.least_reported.map_or(reported, |known| known.min(reported));
        if self.least_reported != Some(least) {
            self.least_reported = Some(least);
            self.state = SlowStartState::Warming { since: now, from_per_mille: least };
        }
    }

    /// Sets the target back to its cold capacity.
    pub fn mark_cold(&mut self, now: Instant) {
        self.state = SlowStartState::Cold { since: now };
    }

    /// Adds the outcomes of requests to the current window.
    pub fn record_signals(&mut self, signals: &Signals, now: Instant) {
        let window_signals = &mut self.window_signals;
        window_signals.answered = window_signals.answered.saturating_add(signals.answered);
        window_signals.shed = window_signals.shed.saturating_add(signals.shed);
        window_signals.failed = window_signals.failed.saturating_add(signals.failed);
        window_signals.latency_ms = window_signals.latency_ms.saturating_add(signals.latency_ms);
        if signals.answered > 0 {
            self.answered_at = Some(now);
        }
    }

    /// Returns the time at which an answered request was last reported; `None` if none was.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Evaluates the current window and starts the next one. Returns `None` while the window is not
    /// over.
    pub fn evaluate_window(&mut self, now: Instant) -> Option<SignalQuality> {
        if now < self.window_start + SIGNAL_WINDOW {
            return None;
        }
        self.window_start = now;
        let signals = std::mem::take(&mut self.window_signals);
        Some(self.evaluate_signals(&signals))
    }

    fn evaluate_signals(&mut self, signals: &Signals) -> SignalQuality {
        let bad = signals.shed + signals.failed;
        let total = signals.answered + bad;
        if total < MIN_SAMPLES {
            return SignalQuality::TooFewSamples;
        }
        if bad * 100 >= total * BAD_SIGNALS_PERCENT {
            return SignalQuality::Bad;
        }
        let latency_ms = signals.latency_ms / signals.answered.max(1);
        if self.is_slow(latency_ms) {
            return SignalQuality::Bad;
        }
        self.update_baseline(latency_ms, signals.answered);
        SignalQuality::Good
    }

    fn is_slow(&self, latency_ms: u32) -> bool {
        let baseline_ms = self.baseline_ms as u32;
        let limit = (baseline_ms * SLOW_LATENCY_FACTOR).max(baseline_ms + SLOW_LATENCY_MARGIN_MS);
        self.baseline_samples >= MIN_BASELINE_SAMPLES && latency_ms > limit
    }

    fn update_baseline(&mut self, latency_ms: u32, samples: u32) {
        if self.baseline_samples == 0 {
            self.baseline_ms = i64::from(latency_ms);
        }
        self.baseline_ms += (i64::from(latency_ms) - self.baseline_ms) / BASELINE_SMOOTHING;
        self.baseline_samples = self.baseline_samples.saturating_add(samples);
    }

    /// Starts the ramp of a cold target after [`COLD_HOLD`], and ends it at full capacity.
    pub fn advance(&mut self, ramp: Duration, now: Instant) {
        match self.state {
            SlowStartState::Cold { since } if now >= since + COLD_HOLD => {
                self.state = SlowStartState::Warming { since: now, from_per_mille: 0 };
            }
            SlowStartState::Warming { .. }
                if self.warm_up_per_mille(ramp, now) >= WARM_PER_MILLE =>
            {
                self.state = SlowStartState::Warm;
            }
            _ => {}
        }
    }

    /// Returns the warm-up progress, in thousandths.
    pub fn warm_up_per_mille(&self, ramp: Duration, now: Instant) -> u16 {
        match self.state {
            SlowStartState::Cold { .. } => 0,
            SlowStartState::Warm => WARM_PER_MILLE,
            SlowStartState::Warming { since, from_per_mille } => {
                let elapsed = now.saturating_duration_since(since).as_millis();
                let gained = elapsed * u128::from(WARM_PER_MILLE) / ramp.as_millis().max(1);
                (u128::from(from_per_mille) + gained).min(u128::from(WARM_PER_MILLE)) as u16
            }
        }
    }
}

/// Returns the capacity of a target at a warm-up progress in thousandths, interpolated between its
/// cold and its full capacity. The cold capacity is at least one request and one connection, unless
/// the full capacity is zero.
pub fn capacity(target: &Target, cold: &ColdStart, warm_up_per_mille: u16) -> Capacity {
    let interpolate = |cold: u32, full: u32| {
        let cold = cold.max(1).min(full);
        let gained = u64::from(full - cold) * u64::from(warm_up_per_mille.min(WARM_PER_MILLE))
            / u64::from(WARM_PER_MILLE);
        cold + gained as u32
    };
    Capacity {
        slots: interpolate(cold.slots, target.slots),
        connections: interpolate(cold.connections, target.connections),
    }
}
