//! Batches: changes of the directory that are split into several datagrams. Reassembles them and
//! requests the retransmission of lost datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::directory_message::RecordsMessage;
use crate::ids::InstanceId;
use crate::route::{DirectoryRecord, Part};

/// Time without a new datagram of a batch after which the missing datagrams are requested.
pub const REPAIR_DELAY: Duration = Duration::from_millis(150);
/// Time between two repair requests for the same batch.
pub const REPAIR_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a batch is kept after its last datagram, to answer repair requests.
pub const BATCH_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of missing datagrams that one repair request names.
pub const MAX_REPAIR_INDEXES: usize = 300;
/// Maximum number of batches kept at a time.
const MAX_BATCHES: usize = 16;

/// Identifies a batch: the instance that split a change into datagrams, and the number that this
/// instance gave to the batch.
pub type BatchId = (InstanceId, u64);

/// Result of inserting a datagram into its batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// The datagram was already received, or its index is out of range.
    Duplicate,
    /// The datagram is new, and other datagrams of its batch are still missing.
    Incomplete,
    /// The datagram was the last missing one; contains the records of the complete batch.
    Complete(Vec<DirectoryRecord>),
}

/// Request for the retransmission of the missing datagrams of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairRequest {
    /// Address of the instance to ask.
    pub to: SocketAddr,
    /// Batch that lacks datagrams.
    pub batch: BatchId,
    /// Indexes of the missing datagrams, at most [`MAX_REPAIR_INDEXES`].
    pub missing: Vec<u16>,
}

#[derive(Debug)]
struct Batch {
    part: Part,
    messages: Vec<Option<RecordsMessage>>,
    missing_count: usize,
    /// Sender of the last new datagram; `None` for a batch that this instance created.
    from: Option<SocketAddr>,
    changed_at: Instant,
    requested_at: Option<Instant>,
}

impl Batch {
    fn new(part: Part, count: u16, now: Instant) -> Self {
        let missing_count = usize::from(count);
        let messages = vec![None; missing_count];
        Self { part, messages, missing_count, from: None, changed_at: now, requested_at: None }
    }

    fn insert(&mut self, message: RecordsMessage, now: Instant) -> bool {
        let Some(slot) = self.messages.get_mut(usize::from(message.index)) else { return false };
        if slot.is_some() {
            return false;
        }
        *slot = Some(message);
        self.missing_count -= 1;
        self.changed_at = now;
        true
    }

    fn records(&self) -> Vec<DirectoryRecord> {
        self.messages.iter().flatten().flat_map(|message| message.records.clone()).collect()
    }

    fn missing_indexes(&self) -> Vec<u16> {
        let numbered = (0..).zip(&self.messages);
        let missing = numbered.filter(|(_, message)| message.is_none()).map(|(index, _)| index);
        missing.take(MAX_REPAIR_INDEXES).collect()
    }

    fn is_repair_due(&self, now: Instant) -> bool {
        self.missing_count > 0
            && now >= self.changed_at + REPAIR_DELAY
            && self.requested_at.is_none_or(|at| now >= at + REPAIR_INTERVAL)
    }
}

/// Batches that were recently sent or received.
#[derive(Debug, Default)]
pub struct RecordBatches {
    batches: HashMap<BatchId, Batch>,
}

impl RecordBatches {
    /// Keeps the datagrams of a batch that this instance sends, to answer repair requests.
    pub fn insert_local(&mut self, origin: &InstanceId, messages: &[RecordsMessage], now: Instant) {
        for message in messages {
            self.entry((origin.clone(), message.batch), message, now).insert(message.clone(), now);
        }
    }

    /// Adds a datagram that was received from `from` to its batch.
    pub fn insert(
        &mut self,
        id: BatchId,
        message: RecordsMessage,
        from: SocketAddr,
        now: Instant,
    ) -> Insertion {
        let batch = self.entry(id, &message, now);
        if !batch.insert(message, now) {
            return Insertion::Duplicate;
        }
        batch.from = Some(from);
        if batch.missing_count > 0 {
            Insertion::Incomplete
        } else {
            Insertion::Complete(batch.records())
        }
    }

    /// Returns whether a datagram of an incomplete batch for `part` arrived within the last two
    /// repair intervals, so that the missing datagrams may still arrive.
    pub fn is_receiving(&self, part: Part, now: Instant) -> bool {
        let is_recent = |batch: &Batch| now < batch.changed_at + 2 * REPAIR_INTERVAL;
        self.batches
            .values()
            .any(|batch| batch.part == part && batch.missing_count > 0 && is_recent(batch))
    }

    /// Returns the repair requests that are due for lost datagrams, and records them as sent.
    pub fn due_repair_requests(&mut self, now: Instant) -> Vec<RepairRequest> {
        let mut requests = Vec::new();
        for (id, batch) in &mut self.batches {
            let Some(to) = batch.from.filter(|_| batch.is_repair_due(now)) else { continue };
            batch.requested_at = Some(now);
            requests.push(RepairRequest {
                to,
                batch: id.clone(),
                missing: batch.missing_indexes(),
            });
        }
        requests
    }

    /// Returns those of the requested datagrams of a batch that are still kept, for retransmission.
    pub fn retransmissions(&self, id: &BatchId, indexes: &[u16]) -> Vec<RecordsMessage> {
        let Some(batch) = self.batches.get(id) else { return Vec::new() };
        let message = |index: &u16| batch.messages.get(usize::from(*index))?.clone();
        indexes.iter().take(MAX_REPAIR_INDEXES).filter_map(message).collect()
    }

    /// Removes batches whose last datagram is older than [`BATCH_RETENTION`].
    pub fn evict_expired(&mut self, now: Instant) {
        self.batches.retain(|_, batch| now < batch.changed_at + BATCH_RETENTION);
    }

    /// Returns the batch that a datagram belongs to. A new batch evicts the oldest one if
    /// [`MAX_BATCHES`] are kept.
    fn entry(&mut self, id: BatchId, message: &RecordsMessage, now: Instant) -> &mut Batch {
        if !self.batches.contains_key(&id) {
            self.evict_oldest_if_full();
        }
        self.batches.entry(id).or_insert_with(|| Batch::new(message.part, message.count, now))
    }

    fn evict_oldest_if_full(&mut self) {
        if self.batches.len() < MAX_BATCHES {
            return;
        }
        let oldest = self.batches.iter().min_by_key(|(_, batch)| batch.changed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.batches.remove(&id);
        }
    }
}
