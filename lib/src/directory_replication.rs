//! Replication of the directory between instances.
//!
//! The reader, which watches the platform's object store, broadcasts the changes that it reads. An
//! instance that has missed some of them pulls the rest.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashSet;
use crate::directory::Directory;
use crate::directory_message::{
    DirectoryMessage, PartStatus, RecordsMessage, DATAGRAM_RECORD_BYTES,
};
use crate::ids::{InstanceId, Version};
use crate::record_batch::{BatchId, Insertion, RecordBatches, RepairRequest};
use crate::route::{DirectoryRecord, Part};

/// Minimum time between two pulls, and so the earliest retry of a pull whose answer was lost.
pub const PULL_INTERVAL: Duration = Duration::from_millis(300);
/// Value of [`PULL_INTERVAL`] when the whole deployment starts. All instances then pull from the few
/// that have the directory, and must not exhaust their processors.
pub const FIRST_START_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an instance that is behind waits for the broadcast before it pulls.
pub const PULL_DELAY: Duration = Duration::from_millis(600);
/// Time after which an instance that is still behind lists the store by itself.
pub const BEHIND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time added to [`BEHIND_TIMEOUT`] for each instance in the view, since a change takes longer to
/// reach all of a larger fleet.
pub const BEHIND_TIMEOUT_STEP: Duration = Duration::from_millis(5);
/// Upper limit of [`BEHIND_TIMEOUT`] with its steps, and its value while the whole deployment starts.
pub const MAX_BEHIND_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Maximum number of changes held back until an earlier change arrives.
const MAX_PENDING_CHANGES: usize = 8;

/// Header fields that all datagrams of one change share.
#[derive(Clone, Debug)]
struct ChangeHeader {
    part: Part,
    from: Version,
    status: PartStatus,
    root: Option<InstanceId>,
}

/// Result of receiving a datagram of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Effect of the datagram on the directory.
    pub outcome: RecordsOutcome,
    /// Datagram to relay to this instance's children in the broadcast tree; `None` if it is not
    /// relayed.
    pub relay: Option<RecordsMessage>,
}

/// Effect of a datagram of records on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordsOutcome {
    /// At least one record was merged.
    Changed,
    /// No record was merged: the datagram is a duplicate or outdated, or its change is not complete
    /// yet.
    Unchanged,
    /// An earlier change is missing, and the receiver has to pull it.
    Behind,
}

/// State of one instance in the replication of the directory.
#[derive(Debug, Default)]
pub struct DirectoryReplication {
    me: InstanceId,
    next_batch: u64,
    batches: RecordBatches,
    pending_changes: Vec<(ChangeHeader, Vec<DirectoryRecord>)>,
    pulled_at: Option<Instant>,
    behind_since: Option<Instant>,
}

impl DirectoryReplication {
    /// Creates the replication state of instance `me`. Its batches are numbered from `first_batch`,
    /// which must differ between runs of the instance so that receivers don't mix up their batches.
    pub fn new(me: InstanceId, first_batch: u64) -> Self {
        Self { me, next_batch: first_batch, ..Self::default() }
    }

    /// Returns the heartbeat of a reader, with the state of each part.
    pub fn heartbeat(directory: &Directory, now: Instant) -> DirectoryMessage {
        DirectoryMessage::Heartbeat { parts: Self::statuses(directory, now) }
    }

    /// Returns the state of each part, in the order of [`Part::ALL`].
    pub fn statuses(directory: &Directory, now: Instant) -> Vec<PartStatus> {
        Part::ALL.iter().map(|part| status(directory, *part, now)).collect()
    }

    /// Returns the datagrams with the changes of a part after a version, addressed to all
    /// instances. They contain the whole part if some removals since that version are no longer
    /// known. A change that takes several datagrams is sent along the broadcast tree rooted at this
    /// instance.
    pub fn changes(
        &mut self,
        directory: &Directory,
        part: Part,
        after: Version,
        now: Instant,
    ) -> Vec<RecordsMessage> {
        let root = Some(self.me.clone());
        self.datagrams(directory, part, after, root, now)
    }

    /// Returns the datagrams with the complete part, addressed to all instances. What a receiver has
    /// and this instance lacks is removed there.
    pub fn complete_part(
        &mut self,
        directory: &Directory,
        part: Part,
        now: Instant,
    ) -> Vec<RecordsMessage> {
        self.changes(directory, part, 0, now)
    }

    fn datagrams(
        &mut self,
        directory: &Directory,
        part: Part,
        after: Version,
        root: Option<InstanceId>,
        now: Instant,
    ) -> Vec<RecordsMessage> {
        let has_history = directory.has_history(part, after);
        let from = if has_history { directory.last_change_version(part, after) } else { 0 };
        let chunks = split_into_datagrams(directory.changes_after(part, from));
        let root = root.filter(|_| chunks.len() > 1);
        let status = status(directory, part, now);
        let batch = self.next_batch;
        self.next_batch = self.next_batch.wrapping_add(1);
        let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
        let message = |(index, records)| RecordsMessage {
            part,
            from,
            status,
            root: root.clone(),
            batch,
            index,
            count,
            records,
        };
        let messages: Vec<_> = (0..count).zip(chunks).map(message).collect();
        if count > 1 {
            self.batches.insert_local(&self.me, &messages, now);
        }
        messages
    }

    /// Returns a pull for the changes that this instance lacks, or `None` if the last pull was less
    /// than [`PULL_INTERVAL`] ago.
    pub fn pull(&mut self, directory: &Directory, now: Instant) -> Option<DirectoryMessage> {
        self.pull_after(directory, PULL_INTERVAL, now)
    }

    /// Returns a pull like [`DirectoryReplication::pull`], unless the last one was less than
    /// `interval` ago.
    pub fn pull_after(
        &mut self,
        directory: &Directory,
        interval: Duration,
        now: Instant,
    ) -> Option<DirectoryMessage> {
        if self.pulled_at.is_some_and(|at| now < at + interval) {
            return None;
        }
        self.pulled_at = Some(now);
        Some(DirectoryMessage::Pull { complete: directory.complete_versions().to_vec() })
    }

    /// Returns whether this instance has been behind for [`BEHIND_TIMEOUT`], although it pulled.
    /// `members` is the number of instances in the view.
    pub fn is_stuck_behind(&self, is_first_start: bool, members: usize, now: Instant) -> bool {
        let timeout = if is_first_start {
            MAX_BEHIND_TIMEOUT
        } else {
            let members = u32::try_from(members).unwrap_or(u32::MAX);
            let timeout = BEHIND_TIMEOUT + BEHIND_TIMEOUT_STEP.saturating_mul(members);
            timeout.min(MAX_BEHIND_TIMEOUT)
        };
        self.behind_since.is_some_and(|since| now >= since + timeout)
    }

    /// Restarts [`BEHIND_TIMEOUT`] after this instance has listed the store.
    pub fn note_listed(&mut self) {
        self.behind_since = None;
    }

    /// Returns the datagrams that answer a pull. `complete` holds the versions up to which the
    /// requester is complete, in the order of [`Part::ALL`].
    pub fn answer(
        &mut self,
        directory: &Directory,
        complete: &[Version],
        now: Instant,
    ) -> Vec<RecordsMessage> {
        let behind = Part::ALL.into_iter().zip(complete);
        let behind = behind.filter(|(part, known)| directory.complete_version(*part) > **known);
        let answer =
            |(part, known): (Part, &Version)| self.datagrams(directory, part, *known, None, now);
        behind.flat_map(answer).collect()
    }

    /// Returns the repair requests that are due for lost datagrams.
    pub fn due_repair_requests(&mut self, now: Instant) -> Vec<RepairRequest> {
        self.batches.due_repair_requests(now)
    }

    /// Returns those of the requested datagrams of a batch that are still kept, for retransmission.
    pub fn retransmissions(&self, batch: &BatchId, indexes: &[u16]) -> Vec<RecordsMessage> {
        self.batches.retransmissions(batch, indexes)
    }

    /// Drops batches that are kept no longer for retransmission.
    pub fn evict_expired(&mut self, now: Instant) {
        self.batches.evict_expired(now);
    }

    /// Handles the heartbeat of a reader. Returns a pull if this instance has been behind for at
    /// least [`PULL_DELAY`].
    pub fn on_heartbeat(
        &mut self,
        directory: &mut Directory,
        parts: &[PartStatus],
        now: Instant,
    ) -> Option<DirectoryMessage> {
        let mut is_behind = false;
        for (part, status) in Part::ALL.into_iter().zip(parts) {
            let is_receiving = self.batches.is_receiving(part, now);
            is_behind |= directory.complete_version(part) < status.changed && !is_receiving;
            confirm(directory, part, *status, now);
        }
        if !is_behind {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now < since + PULL_DELAY {
            return None;
        }
        self.pull(directory, now)
    }

    /// Handles a datagram of records that `sender` sent from the address `from`. A change is merged
    /// as a whole and in version order, since a version of the routing must not take effect
    /// partially.
    pub fn on_records(
        &mut self,
        directory: &mut Directory,
        sender: &InstanceId,
        from: SocketAddr,
        message: RecordsMessage,
        now: Instant,
    ) -> Received {
        let header = ChangeHeader {
            part: message.part,
            from: message.from,
            status: message.status,
            root: message.root.clone(),
        };
        let is_newer = header.status.complete > directory.complete_version(header.part);
        if message.count <= 1 {
            let outcome = self.merge(directory, header, message.records, now);
            return Received { outcome, relay: None };
        }
        let origin = header.root.clone().unwrap_or_else(|| sender.clone());
        let (id, index) = ((origin, message.batch), message.index);
        let insertion = self.batches.insert(id.clone(), message, from, now);
        let is_relayed = header.root.is_some() && is_newer && insertion != Insertion::Duplicate;
        let relay = is_relayed
            .then(|| self.batches.retransmissions(&id, &[index]))
            .and_then(|mut it| it.pop());
        let outcome = match insertion {
            Insertion::Complete(records) => self.merge(directory, header, records, now),
            Insertion::Duplicate | Insertion::Incomplete => RecordsOutcome::Unchanged,
        };
        Received { outcome, relay }
    }

    /// Merges a change and the pending changes that it unblocks. The change itself becomes pending
    /// if an earlier one is missing.
    fn merge(
        &mut self,
        directory: &mut Directory,
        header: ChangeHeader,
        records: Vec<DirectoryRecord>,
        now: Instant,
    ) -> RecordsOutcome {
        let part = header.part;
        if header.from > directory.complete_version(part) {
            self.pending_changes.truncate(MAX_PENDING_CHANGES - 1);
            self.pending_changes.insert(0, (header, records));
            let is_receiving = self.batches.is_receiving(part, now);
            return if is_receiving { RecordsOutcome::Unchanged } else { RecordsOutcome::Behind };
        }
        let mut is_changed = apply_change(directory, &header, records, now);
        while let Some(next) =
            self.pending_changes.iter().position(|(header, _)| is_applicable(directory, header))
        {
            let (header, records) = self.pending_changes.swap_remove(next);
            is_changed |= apply_change(directory, &header, records, now);
        }
        self.pending_changes
            .retain(|(header, _)| header.status.complete > directory.complete_version(header.part));
        if is_changed {
            RecordsOutcome::Changed
        } else {
            RecordsOutcome::Unchanged
        }
    }
}

fn is_applicable(directory: &Directory, header: &ChangeHeader) -> bool {
    let complete = directory.complete_version(header.part);
    header.from <= complete && header.status.complete > complete
}

fn apply_change(
    directory: &mut Directory,
    header: &ChangeHeader,
    mut records: Vec<DirectoryRecord>,
    now: Instant,
) -> bool {
    let (part, status) = (header.part, header.status);
    let bodies = records.iter().filter_map(|record| record.body.as_ref());
    if directory.is_older_routing(bodies) {
        records.clear();
    } else if header.from == 0 {
        let names: HashSet<_> = records.iter().map(|record| record.name.clone()).collect();
        records.extend(directory.implied_removals(part, status.complete, &names));
    }
    let is_changed = directory.merge(part, records, now);
    let at = now.checked_sub(status.age).unwrap_or(now);
    directory.confirm(part, status.complete, at);
    is_changed
}

fn status(directory: &Directory, part: Part, now: Instant) -> PartStatus {
    let age = directory.age(part, now).unwrap_or(Duration::MAX / 4);
    let complete = directory.complete_version(part);
    PartStatus { complete, changed: directory.last_change_version(part, complete), age }
}

fn confirm(directory: &mut Directory, part: Part, status: PartStatus, now: Instant) {
    let is_known = status.complete > 0 && directory.complete_version(part) >= status.changed;
    if let Some(at) = now.checked_sub(status.age).filter(|_| is_known) {
        directory.confirm(part, status.complete, at);
    }
}

/// Splits records into chunks that fit a datagram. Returns at least one chunk, which may be empty.
fn split_into_datagrams(records: Vec<DirectoryRecord>) -> Vec<Vec<DirectoryRecord>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = postcard::experimental::serialized_size(&record).unwrap_or_default();
        if bytes + size > DATAGRAM_RECORD_BYTES && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(record);
        }
    }
    chunks
}
