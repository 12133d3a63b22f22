//! Election of the reader: the instance that watches the platform's object store for all others.
//!
//! The election takes no votes. Every instance derives the same ranking of instances from the view.
//! An instance that receives no heartbeat of a reader within its election timeout becomes a reader,
//! and the timeout grows with the rank, so that the instances try one after the other. Several
//! readers at a time are safe, since replicas keep the highest version of each record. Of two
//! readers that receive each other's heartbeats, the lower-ranked one steps down.

use std::time::Duration;

use tokio::time::Instant;

use crate::owner::rank_key;
use crate::view::View;

/// Time between two heartbeats of a reader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a heartbeat of any reader after which the highest-ranked instance becomes one.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);
/// Amount by which the election timeout grows with each rank.
pub const ELECTION_TIMEOUT_STEP: Duration = Duration::from_millis(120);
/// Largest number of steps by which an instance's rank lengthens its election timeout. All
/// instances whose rank is this number or larger have the same timeout.
pub const MAX_TIMEOUT_STEPS: u32 = 8;
/// Time for which a fresh instance waits for the directory from its peers before it lists the
/// store.
pub const INITIAL_PULL_TIMEOUT: Duration = Duration::from_millis(30);
/// Maximum random delay added to [`INITIAL_PULL_TIMEOUT`] when all instances of a fleet start for
/// the first time, before there are callers. With the delay, few instances list the store, and the
/// others get the directory from them.
pub const FIRST_START_MAX_JITTER: Duration = Duration::from_millis(2_500);
/// Time for which two readers overlap before the lower-ranked one steps down.
pub const STEP_DOWN_DELAY: Duration = Duration::from_millis(600);
/// Base of the exponential backoff: after `n` failures in a row, the backoff is `2^n` times this,
/// at most [`MAX_BACKOFF`].
pub const BACKOFF_BASE: Duration = Duration::from_millis(300);
/// Maximum backoff after failed calls to the store, before the addition for the rank and the
/// jitter.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Subject of the hash that ranks the instances.
const RANK_SUBJECT: &str = "reader";

/// Returns the rank of instance `me`: the number of eligible instances whose rank key is smaller.
/// Rank 0 is the highest.
pub fn rank(view: &View, me: &str) -> u32 {
    let mine = rank_key(RANK_SUBJECT, me, 0);
    let members = view.members().iter().filter(|member| member.is_eligible());
    let before = members.filter(|member| rank_key(RANK_SUBJECT, &member.id, 0) < mine).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// State of one instance in the election of the reader.
#[derive(Clone, Debug)]
pub struct ReaderElection {
    started: Instant,
    initial_pull_timeout: Duration,
    heartbeat_at: Option<Instant>,
    outranked_since: Option<Instant>,
    retry_at: Instant,
    failures: u32,
    is_reading: bool,
}

impl ReaderElection {
    /// Creates the state of a fresh instance, which lists the store by itself unless it gets the
    /// directory from its peers within `initial_pull_timeout`.
    pub fn new(initial_pull_timeout: Duration, now: Instant) -> Self {
        Self {
            started: now,
            initial_pull_timeout,
            heartbeat_at: None,
            outranked_since: None,
            retry_at: now,
            failures: 0,
            is_reading: false,
        }
    }

    /// Returns whether the instance currently reads the platform's store on behalf of the others.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns whether the instance should list the store once, because its peers have not sent it
    /// the directory in time.
    pub fn should_list(&self, has_directory: bool, now: Instant) -> bool {
        !has_directory && now >= self.started + self.initial_pull_timeout && now >= self.retry_at
    }

    /// Returns whether the instance should become a reader: its election timeout has passed without
    /// a heartbeat, and it is not backing off after a failure.
    pub fn should_start(&self, rank: u32, now: Instant) -> bool {
        let steps = ELECTION_TIMEOUT_STEP.saturating_mul(rank.min(MAX_TIMEOUT_STEPS));
        let heartbeat_at = self.heartbeat_at.unwrap_or(self.started + self.initial_pull_timeout);
        let is_due = now >= heartbeat_at + ELECTION_TIMEOUT + steps && now >= self.retry_at;
        !self.is_reading && is_due
    }

    /// Returns whether the instance should step down in favour of a higher-ranked reader.
    pub fn should_stop(&self, now: Instant) -> bool {
        self.is_reading && self.outranked_since.is_some_and(|since| now >= since + STEP_DOWN_DELAY)
    }

    /// Records that the instance became a reader: it listed all parts of the directory.
    pub fn note_started(&mut self) {
        self.is_reading = true;
        self.failures = 0;
        self.outranked_since = None;
    }

    /// Records that the instance stepped down.
    pub fn note_stopped(&mut self) {
        self.is_reading = false;
        self.outranked_since = None;
    }

    /// Records a failed call to the store, after which the instance is no longer a reader and backs
    /// off. The backoff grows with the rank, up to twice its length, so that the instances do not
    /// all retry at once; `jitter` is added to it.
    pub fn note_failed(&mut self, rank: u32, jitter: Duration, now: Instant) {
        self.is_reading = false;
        self.outranked_since = None;
        self.failures = self.failures.saturating_add(1);
        let pause = BACKOFF_BASE.saturating_mul(1 << self.failures.min(4)).min(MAX_BACKOFF);
        let pause = pause + pause.saturating_mul(rank.min(MAX_TIMEOUT_STEPS)) / MAX_TIMEOUT_STEPS;
        self.retry_at = now + pause + jitter;
    }

    /// Records the heartbeat of another reader. `is_outranked` is set if that reader ranks higher
    /// than this instance.
    pub fn note_heartbeat(&mut self, is_outranked: bool, now: Instant) {
        self.heartbeat_at = Some(now);
        if self.is_reading && is_outranked {
            self.outranked_since.get_or_insert(now);
        }
    }
}
