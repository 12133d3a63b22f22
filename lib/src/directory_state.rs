//! What an instance knows from the store, and its part in following it.

use std::time::Duration;

use tokio::time::Instant;

use crate::cookie_instance::CookieInstance;
use crate::directory::Directory;
use crate::directory_message::DirectoryMessage;
use crate::directory_replication::DirectoryReplication;
use crate::ids::Version;
use crate::reader_election::{rank, ReaderElection};
use crate::route::{DirectoryRecord, Part};

/// Time between two clearings of what was removed long ago.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest jitter of the pause after a failed call to the store, in milliseconds.
const BACKOFF_JITTER_MS: u64 = 200;

/// Who is told what an instance read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The other instances.
    Others,
    /// Nobody: a fresh instance read what the others know already.
    Nobody,
}

/// What an instance knows from the store and from others.
pub(crate) struct DirectoryState {
    pub(crate) directory: Directory,
    pub(crate) replication: DirectoryReplication,
    pub(crate) election: ReaderElection,
    pub(crate) heartbeat_sent_at: Option<Instant>,
    pub(crate) purged_at: Option<Instant>,
}

impl DirectoryState {
    /// Forgets now and then what was removed long ago.
    pub(crate) fn purge(&mut self, now: Instant) {
        if self.purged_at.is_none_or(|at| now >= at + PURGE_INTERVAL) {
            self.purged_at = Some(now);
            self.directory.purge_tombstones(now);
            self.replication.evict_expired(now);
        }
    }
}

impl CookieInstance {
    /// Tells whether the instance is to read everything once, since nobody told it.
    pub fn should_list(&self, now: Instant) -> bool {
        let state = self.directory_state.lock();
        state.election.should_list(state.directory.is_complete(), now)
    }

    /// Returns who is told what this instance reads before it follows the store: at the first start
    /// of all, the others know nothing yet.
    pub fn listing_audience(&self) -> Audience {
        if self.is_first_start {
            Audience::Others
        } else {
            Audience::Nobody
        }
    }

    /// Tells whether the instance is to begin to follow the store.
    pub fn should_start_reading(&self, now: Instant) -> bool {
        let is_due = |rank| self.directory_state.lock().election.should_start(rank, now);
        // Whether even the first in rank would is cheaper to know than the rank.
        is_due(0) && is_due(self.rank())
    }

    /// Tells whether the instance is to stop following the store.
    pub fn should_stop_reading(&self, now: Instant) -> bool {
        self.directory_state.lock().election.should_stop(now)
    }

    /// Notes that the instance follows the store.
    pub fn note_reading_started(&self) {
        self.directory_state.lock().election.note_started();
    }

    /// Notes that the instance no longer follows the store.
    pub fn note_reading_stopped(&self) {
        self.directory_state.lock().election.note_stopped();
    }

    /// Notes that the store failed.
    pub fn note_store_failed(&self, now: Instant) {
        let jitter = Duration::from_millis(self.random.below(BACKOFF_JITTER_MS));
        let rank = self.rank();
        self.directory_state.lock().election.note_failed(rank, jitter, now);
    }

    /// Runs `f` with the directory.
    pub fn with_directory<T>(&self, f: impl FnOnce(&Directory) -> T) -> T {
        f(&self.directory_state.lock().directory)
    }

    /// Takes what was read from the store, and tells it to an audience.
    pub fn publish(
        &self,
        part: Part,
        records: Vec<DirectoryRecord>,
        version: Version,
        confirmed: Instant,
        audience: Audience,
    ) {
        let now = Instant::now();
        let messages = {
            let mut state = self.directory_state.lock();
            let DirectoryState { directory, replication, .. } = &mut *state;
            let before = directory.complete_version(part);
            let is_changed = directory.merge(part, records, now);
            directory.confirm(part, version, confirmed);
            if is_changed {
                self.apply(directory, part, now);
            }
            if is_changed && audience == Audience::Others {
                replication.changes(directory, part, before, now)
            } else {
                Vec::new()
            }
        };
        for message in messages {
            if message.root.is_some() {
                self.relay(message, now);
            } else {
                self.broadcast(DirectoryMessage::Records(message));
            }
        }
    }

    pub(crate) fn rank(&self) -> u32 {
        rank(&self.view(), &self.id)
    }
}
