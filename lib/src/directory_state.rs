//! Directory state of an instance: its replica, the replication between instances and the election
//! of the reader.

use std::time::Duration;

use tokio::time::Instant;

use crate::cookie_instance::CookieInstance;
use crate::directory::Directory;
use crate::directory_message::{DirectoryMessage, RecordsMessage};
use crate::directory_replication::DirectoryReplication;
use crate::ids::Version;
use crate::log_message::STORE_RESTORED;
use crate::reader_election::{rank, ReaderElection};
use crate::route::{DirectoryRecord, Part};
use crate::store_version::{self, DisplayVersion};

/// Time between two purges of expired tombstones and batches.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the backoff's random jitter, in milliseconds.
const BACKOFF_JITTER_MS: u64 = 200;

/// Recipients of the changes that an instance reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All other instances.
    Others,
    /// No instance: the others already have what a fresh instance lists.
    Nobody,
}

/// Replica of the directory, with the state of its replication and of the reader election.
pub(crate) struct DirectoryState {
    pub(crate) directory: Directory,
    pub(crate) replication: DirectoryReplication,
    pub(crate) election: ReaderElection,
    pub(crate) heartbeat_sent_at: Option<Instant>,
    pub(crate) purged_at: Option<Instant>,
}

impl DirectoryState {
    /// Drops expired tombstones and batches, at most once per [`PURGE_INTERVAL`].
    pub(crate) fn purge(&mut self, now: Instant) {
        if self.purged_at.is_none_or(|at| now >= at + PURGE_INTERVAL) {
            self.purged_at = Some(now);
            self.directory.purge_tombstones(now);
            self.replication.evict_expired(now);
        }
    }
}

impl CookieInstance {
    /// Returns whether the instance should list the store once, since it got no directory or not the
    /// latest changes from its peers in time.
    pub fn should_list(&self, now: Instant) -> bool {
        let members = self.view().members().len();
        let state = self.directory_state.lock();
        let is_up_to_date = state.directory.is_complete()
            && !state.replication.is_stuck_behind(self.is_first_start(now), members, now);
        state.election.should_list(is_up_to_date, now)
    }

    /// Returns the recipients of what this instance lists before it becomes a reader. When the whole
    /// deployment starts, a seed sends its first listing to all others, which have no directory yet.
    pub fn listing_audience(&self) -> Audience {
        if self.is_first_start(Instant::now()) && self.is_seed && !self.has_directory() {
            Audience::Others
        } else {
            Audience::Nobody
        }
    }

    /// Returns whether the instance should become a reader.
    pub fn should_start_reading(&self, now: Instant) -> bool {
        let is_due = |rank| self.directory_state.lock().election.should_start(rank, now);
        // The check for rank 0 comes first, since it avoids the cost of computing the rank.
        is_due(0) && is_due(self.rank())
    }

    /// Returns whether the instance should step down as a reader.
    pub fn should_stop_reading(&self, now: Instant) -> bool {
        self.directory_state.lock().election.should_stop(now)
    }

    /// Records that the instance became a reader.
    pub fn note_reading_started(&self) {
        self.directory_state.lock().election.note_started();
    }

    /// Records that the instance stepped down as a reader.
    pub fn note_reading_stopped(&self) {
        self.directory_state.lock().election.note_stopped();
    }

    /// Records a failed call to the store, and backs off.
    pub fn note_store_failed(&self, now: Instant) {
        let jitter = Duration::from_millis(self.random.below(BACKOFF_JITTER_MS));
        let rank = self.rank();
        self.directory_state.lock().election.note_failed(rank, jitter, now);
    }

    /// Calls `f` with the directory, which stays locked meanwhile.
    pub fn with_directory<T>(&self, f: impl FnOnce(&Directory) -> T) -> T {
        f(&self.directory_state.lock().directory)
    }

    /// Merges records that were read from the store, and broadcasts the changes to `audience`. The
    /// part is then complete up to `version`, as confirmed by the store at `confirmed`.
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
            replication.note_listed();
            self.note_era(before, version);
            if is_changed {
                self.apply(directory, part, now);
            }
            if is_changed && audience == Audience::Others {
                replication.changes(directory, part, before, now)
            } else {
                Vec::new()
            }
        };
        self.send_changes(messages, now);
        self.release_held_packets(now);
    }

    /// Broadcasts a complete part to all other instances.
    pub(crate) fn publish_complete(&self, part: Part) {
        let now = Instant::now();
        let messages = {
            let mut state = self.directory_state.lock();
            let DirectoryState { directory, replication, .. } = &mut *state;
            replication.complete_part(directory, part, now)
        };
        self.send_changes(messages, now);
    }

    fn send_changes(&self, messages: Vec<RecordsMessage>, now: Instant) {
        for message in messages {
            if message.root.is_some() {
                self.relay(message, now);
            } else {
                self.broadcast(DirectoryMessage::Records(message));
            }
        }
    }

    /// Logs and counts a restore of the store, once for each new era that this instance learns of.
    /// `before` is the version up to which the part was complete before.
    pub(crate) fn note_era(&self, before: Version, after: Version) {
        let (old, new) = (store_version::era(before), store_version::era(after));
        let mut latest = self.latest_era.lock();
        let known = latest.get_or_insert(old.max(new));
        if before == 0 || new <= *known {
            *known = new.max(*known);
            return;
        }
        *known = new;
        self.metrics.store_restores.inc();
        let (before, after) =
            (DisplayVersion(before).to_string(), DisplayVersion(after).to_string());
        log::warn!(before = before.as_str(), after = after.as_str(); "{STORE_RESTORED}");
    }

    pub(crate) fn rank(&self) -> u32 {
        rank(&self.view(), &self.id)
    }
}
