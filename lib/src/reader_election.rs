//! Election of the reader: the instance that watches the platform's object store for all others.
//!
//! The election takes no votes. Every instance derives the same ranking of instances from the view.
//! An instance that receives no heartbeat of a reader within its election timeout becomes a reader,
//! and the timeout grows with the rank, so that the instances try one after the other. Several
//! readers at a time are safe, since replicas keep the highest version of each record. Of two
//! readers that receive each other's heartbeats, the lower-ranked one steps down.
//!
//! When many instances start at once, none of them knows more than a few others, and no reader
//! reaches all of them with its heartbeats. Left to itself, nearly every instance would become a
//! reader, and stay one until the membership has spread. So an instance that has never received a
//! heartbeat waits for [`UNHEARD_READER_DELAY`] longer, unless it is a seed; and instances that know
//! a reader name it to those that don't (see [`KnownReader`]).

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::directory_message::PartStatus;
use crate::ids::InstanceId;
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
/// Time by which an instance other than a seed waits longer before it becomes a reader, if it has
/// never received a heartbeat. The seeds, which every instance contacts first, go ahead.
pub const UNHEARD_READER_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum random delay added to [`UNHEARD_READER_DELAY`].
pub const UNHEARD_READER_MAX_JITTER: Duration = Duration::from_millis(1_000);
/// Value of [`INITIAL_PULL_TIMEOUT`] for instances other than seeds when the whole deployment starts
/// for the first time, before there are callers.
pub const FIRST_START_PULL_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time between two requests for the reader's name by an instance that has received no heartbeat.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the last heartbeat of a reader for which instances name it to others.
pub const HINT_VALIDITY: Duration = Duration::from_millis(600);
/// Number of instances that name a better reader to one that they hear, on average.
pub const HINT_FAN_OUT: u64 = 3;
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

/// Returns whether an instance ranks higher than another one.
pub fn outranks(id: &str, other: &str) -> bool {
    rank_key(RANK_SUBJECT, id, 0) < rank_key(RANK_SUBJECT, other, 0)
}

/// Reader whose heartbeats this instance receives.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownReader {
    /// Name of the reader.
    pub id: InstanceId,
    /// Address for messages to the reader.
    pub peer: SocketAddr,
    /// State of each part at the reader, from its last heartbeat.
    pub parts: Vec<PartStatus>,
    /// Time at which its last heartbeat arrived.
    pub heard_at: Instant,
}

impl KnownReader {
    /// Returns whether the reader's last heartbeat is recent enough to name it to others.
    pub fn is_current(&self, now: Instant) -> bool {
        now < self.heard_at + HINT_VALIDITY
    }
}

/// Delays of a fresh instance in the election.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartDelays {
    /// Time for which it waits for the directory from its peers before it lists the store.
    pub initial_pull_timeout: Duration,
    /// Time that it waits longer before it becomes a reader, as long as it has received no
    /// heartbeat.
    pub unheard_reader_delay: Duration,
}

/// State of one instance in the election of the reader.
#[derive(Clone, Debug)]
pub struct ReaderElection {
    started: Instant,
    delays: StartDelays,
    known_reader: Option<KnownReader>,
    heartbeat_at: Option<Instant>,
    outranked_since: Option<Instant>,
    asked_at: Option<Instant>,
    retry_at: Instant,
    failures: u32,
    is_reading: bool,
}

impl ReaderElection {
    /// Creates the state of a fresh instance.
    pub fn new(delays: StartDelays, now: Instant) -> Self {
        Self {
            started: now,
            delays,
            known_reader: None,
            heartbeat_at: None,
            outranked_since: None,
            asked_at: None,
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
    /// the directory, or the latest changes, in time.
    pub fn should_list(&self, is_up_to_date: bool, now: Instant) -> bool {
        !is_up_to_date
            && !self.is_reading
            && now >= self.started + self.delays.initial_pull_timeout
            && now >= self.retry_at
    }

    /// Returns whether the instance should become a reader: its election timeout has passed without
    /// a heartbeat, and it is not backing off after a failure.
    pub fn should_start(&self, rank: u32, now: Instant) -> bool {
        let steps = ELECTION_TIMEOUT_STEP.saturating_mul(rank.min(MAX_TIMEOUT_STEPS));
        let unheard_delay = self.delays.initial_pull_timeout + self.delays.unheard_reader_delay;
        let heartbeat_at = self.heartbeat_at.unwrap_or(self.started + unheard_delay);
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

    /// Returns the highest-ranked reader of which a heartbeat arrived lately.
    pub fn known_reader(&self, now: Instant) -> Option<&KnownReader> {
        self.known_reader.as_ref().filter(|known| known.is_current(now))
    }

    /// Returns whether to ask another instance for the reader now, since no heartbeat has arrived.
    /// Counts as asked if so.
    pub fn should_ask(&mut self, now: Instant) -> bool {
        let is_waiting = self.heartbeat_at.is_none() && !self.is_reading;
        let is_due = self.asked_at.is_none_or(|at| now >= at + ASK_INTERVAL);
        if is_waiting && is_due {
            self.asked_at = Some(now);
        }
        is_waiting && is_due
    }

    /// Records which reader sent a heartbeat, unless a higher-ranked one or a later heartbeat of the
    /// same one is known.
    pub fn note_reader(&mut self, reader: KnownReader) {
        let is_better = |known: &KnownReader| {
            if known.id == reader.id {
                reader.heard_at > known.heard_at
            } else {
                outranks(&reader.id, &known.id)
            }
        };
        if self.known_reader(reader.heard_at).is_none_or(is_better) {
            self.known_reader = Some(reader);
        }
    }

    /// Records the heartbeat of another reader. `is_outranked` is set if that reader ranks higher
    /// than this instance.
    pub fn note_heartbeat(&mut self, is_outranked: bool, now: Instant) {
        self.heartbeat_at = self.heartbeat_at.max(Some(now));
        if self.is_reading && is_outranked {
            self.outranked_since.get_or_insert(now);
        }
    }
}
