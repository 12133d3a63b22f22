//! Decides which instance follows the store for the others.
//!
//! Nobody is elected: whoever hears of no reader for a while becomes one, the instances one after
//! the other in an order that all derive from the view. Of two readers that hear each other, the
//! one that comes first in that order stays.

use std::time::Duration;

use tokio::time::Instant;

use crate::owner::rank_key;
use crate::view::View;

/// Time between two messages of a reader.
pub const READING_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of all readers after which the instance that comes first becomes one.
pub const TAKEOVER: Duration = Duration::from_millis(700);
/// Time by which each further instance waits longer.
pub const TAKEOVER_STEP: Duration = Duration::from_millis(120);
/// Number of steps after which all others follow at once.
pub const MAX_STEPS: u32 = 8;
/// Time in which a fresh instance hopes for another one's directory.
pub const START_WAIT: Duration = Duration::from_millis(30);
/// Longest time that instances wait in which all start for the first time, before there are
/// callers; they draw their times, so that few of them ask the store.
pub const FIRST_START_WAIT: Duration = Duration::from_millis(2_500);
/// Time for which two readers run beside each other before one stops.
pub const OVERLAP: Duration = Duration::from_millis(600);
/// Pause after the first failed call to the store.
pub const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after failed calls to the store.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// What instances are ordered for.
const SUBJECT: &str = "reader";

/// Returns the number of live instances that come before `me` in the order of readers.
pub fn rank(view: &View, me: &str) -> u32 {
    let mine = rank_key(SUBJECT, me, 0);
    let members = view.members().iter().filter(|member| member.is_eligible());
    let before = members.filter(|member| rank_key(SUBJECT, &member.id, 0) < mine).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Whether one instance follows the store.
#[derive(Clone, Debug)]
pub struct ReaderChoice {
    started: Instant,
    start_wait: Duration,
    heard_at: Option<Instant>,
    yields_since: Option<Instant>,
    not_before: Instant,
    failures: u32,
    is_reading: bool,
}

impl ReaderChoice {
    /// Creates the choice of a fresh instance, which reads everything by itself when nobody has
    /// told it within `start_wait`.
    pub fn new(start_wait: Duration, now: Instant) -> Self {
        Self {
            started: now,
            start_wait,
            heard_at: None,
            yields_since: None,
            not_before: now,
            failures: 0,
            is_reading: false,
        }
    }

    /// Tells whether the instance follows the store.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Tells whether a fresh instance is to read everything once, since nobody told it.
    pub fn should_list(&self, has_directory: bool, now: Instant) -> bool {
        !has_directory && now >= self.started + self.start_wait && now >= self.not_before
    }

    /// Tells whether the instance is to begin to follow the store.
    pub fn should_start(&self, rank: u32, now: Instant) -> bool {
        let steps = TAKEOVER_STEP.saturating_mul(rank.min(MAX_STEPS));
        let heard_at = self.heard_at.unwrap_or(self.started + self.start_wait);
        let is_due = now >= heard_at + TAKEOVER + steps && now >= self.not_before;
        !self.is_reading && is_due
    }

    /// Tells whether the instance is to stop reading because another one does.
    pub fn should_stop(&self, now: Instant) -> bool {
        self.is_reading && self.yields_since.is_some_and(|since| now >= since + OVERLAP)
    }

    /// Notes that the store answered everything that was asked at the start of following it.
    pub fn note_reading(&mut self) {
        self.is_reading = true;
        self.failures = 0;
        self.yields_since = None;
    }

    /// Notes that the instance stopped because another one reads.
    pub fn note_stopped(&mut self) {
        self.is_reading = false;
        self.yields_since = None;
    }

    /// Notes that the store failed; instances late in the order pause longer.
    pub fn note_failed(&mut self, rank: u32, jitter: Duration, now: Instant) {
        self.is_reading = false;
        self.yields_since = None;
        self.failures = self.failures.saturating_add(1);
        let pause = MIN_PAUSE.saturating_mul(1 << self.failures.min(4)).min(MAX_PAUSE);
        let pause = pause + pause.saturating_mul(rank.min(MAX_STEPS)) / MAX_STEPS;
        self.not_before = now + pause + jitter;
    }

    /// Notes the message of another reader; `is_first` tells whether that one comes before this
    /// instance.
    pub fn note_heard(&mut self, is_first: bool, now: Instant) {
        self.heard_at = Some(now);
        if self.is_reading && is_first {
            self.yields_since.get_or_insert(now);
        }
    }
}
