//! Numbers of answers and of slow answers among them, whole and decaying with time.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a count has decayed to 37 %. Of some ten requests a second that a target gets,
/// about 30 count.
pub const DECAY_TIME: Duration = Duration::from_secs(3);

/// Numbers of answers of one target or service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Answers among them that took far longer than usual.
    pub outliers: u32,
}

impl AnswerCounts {
    /// Returns the counts of a single answer.
    pub fn of_one(is_outlier: bool) -> Self {
        Self { answers: 1, outliers: is_outlier.into() }
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.outliers = self.outliers.saturating_add(other.outliers);
    }
}

/// Answers of the recent past, of which older ones count less.
#[derive(Clone, Copy, Debug)]
pub struct RecentAnswers {
    answers: f64,
    outliers: f64,
    updated_at: Instant,
}

/// Recent answers at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerSums {
    /// All answers, weighted by their age.
    pub answers: f64,
    /// Outliers, weighted by their age.
    pub outliers: f64,
}

impl RecentAnswers {
    /// Creates empty counts.
    pub fn new(now: Instant) -> Self {
        Self { answers: 0.0, outliers: 0.0, updated_at: now }
    }

    /// Adds counts.
    pub fn add(&mut self, counts: AnswerCounts, now: Instant) {
        let sums = self.sums(now);
        self.answers = sums.answers + f64::from(counts.answers);
        self.outliers = sums.outliers + f64::from(counts.outliers);
        self.updated_at = now;
    }

    /// Returns the counts at `now`.
    pub fn sums(&self, now: Instant) -> AnswerSums {
        let age = now.saturating_duration_since(self.updated_at);
        let left = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        AnswerSums { answers: self.answers * left, outliers: self.outliers * left }
    }
}

impl AnswerSums {
    /// Returns the sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        Self { answers: self.answers + other.answers, outliers: self.outliers + other.outliers }
    }

    /// Returns the difference of two counts, at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            answers: (self.answers - other.answers).max(0.0),
            outliers: (self.outliers - other.outliers).max(0.0),
        }
    }

    /// Returns the share of outliers among the answers, from 0 to 1.
    pub fn outlier_share(self) -> f64 {
        if self.answers > 0.0 {
            self.outliers / self.answers
        } else {
            0.0
        }
    }
}
