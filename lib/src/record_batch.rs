//! Changes that take several datagrams: collected until none is missing, and asked for again where
//! some were lost on their way.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::directory_message::RecordsMessage;
use crate::ids::InstanceId;
use crate::route::{DirectoryRecord, Part};

/// Silence of a change after which its missing datagrams are asked for.
pub const REPAIR_AFTER: Duration = Duration::from_millis(150);
/// Time between two questions for the same datagrams.
pub const REPAIR_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a change is kept after its last datagram, for those who lack some of it.
pub const KEEP_BATCH: Duration = Duration::from_secs(5);
/// Numbers of missing datagrams that one question names.
pub const MAX_ASKED: usize = 300;
/// Changes that are kept at most.
const MAX_BATCHES: usize = 16;

/// Names a change: the instance that divided it into datagrams, and a number of its own.
pub type BatchId = (InstanceId, u64);

/// What became of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was known.
    Known,
    /// It is new, and others of its change are missing.
    New,
    /// It is new and the last one that was missing; these are the records of the whole change.
    Whole(Vec<DirectoryRecord>),
}

/// Question for the missing datagrams of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repair {
    /// Instance to ask.
    pub to: SocketAddr,
    /// Change.
    pub batch: BatchId,
    /// Numbers of the datagrams.
    pub missing: Vec<u16>,
}

#[derive(Debug)]
struct Batch {
    part: Part,
    messages: Vec<Option<RecordsMessage>>,
    missing: usize,
    /// Who sent the last new datagram; `None` for a change of this instance.
    from: Option<SocketAddr>,
    changed_at: Instant,
    asked_at: Option<Instant>,
}

impl Batch {
    fn new(part: Part, count: u16, now: Instant) -> Self {
        let missing = usize::from(count);
        let messages = vec![None; missing];
        Self { part, messages, missing, from: None, changed_at: now, asked_at: None }
    }

    fn put(&mut self, message: RecordsMessage, now: Instant) -> bool {
        let Some(slot) = self.messages.get_mut(usize::from(message.index)) else { return false };
        if slot.is_some() {
            return false;
        }
        *slot = Some(message);
        self.missing -= 1;
        self.changed_at = now;
        true
    }

    fn records(&self) -> Vec<DirectoryRecord> {
        self.messages.iter().flatten().flat_map(|message| message.records.clone()).collect()
    }

    fn missing(&self) -> Vec<u16> {
        let numbered = (0..).zip(&self.messages);
        let missing = numbered.filter(|(_, message)| message.is_none()).map(|(index, _)| index);
        missing.take(MAX_ASKED).collect()
    }

    fn is_repair_due(&self, now: Instant) -> bool {
        self.missing > 0
            && now >= self.changed_at + REPAIR_AFTER
            && self.asked_at.is_none_or(|at| now >= at + REPAIR_INTERVAL)
    }
}

/// Changes of several datagrams that were sent or received lately.
#[derive(Debug, Default)]
pub struct RecordBatches {
    batches: HashMap<BatchId, Batch>,
}

impl RecordBatches {
    /// Keeps the datagrams of a change of this instance.
    pub fn keep(&mut self, origin: &InstanceId, messages: &[RecordsMessage], now: Instant) {
        for message in messages {
            self.batch((origin.clone(), message.batch), message, now).put(message.clone(), now);
        }
    }

    /// Takes a datagram that `from` sent.
    pub fn take(
        &mut self,
        id: BatchId,
        message: RecordsMessage,
        from: SocketAddr,
        now: Instant,
    ) -> Taken {
        let batch = self.batch(id, &message, now);
        if !batch.put(message, now) {
            return Taken::Known;
        }
        batch.from = Some(from);
        if batch.missing > 0 {
            Taken::New
        } else {
            Taken::Whole(batch.records())
        }
    }

    /// Tells whether datagrams of a change of a part are still coming in.
    pub fn is_collecting(&self, part: Part, now: Instant) -> bool {
        let is_recent = |batch: &Batch| now < batch.changed_at + 2 * REPAIR_INTERVAL;
        self.batches
            .values()
            .any(|batch| batch.part == part && batch.missing > 0 && is_recent(batch))
    }

    /// Returns the questions that are due for datagrams that were lost.
    pub fn due_repairs(&mut self, now: Instant) -> Vec<Repair> {
        let mut repairs = Vec::new();
        for (id, batch) in &mut self.batches {
            let Some(to) = batch.from.filter(|_| batch.is_repair_due(now)) else { continue };
            batch.asked_at = Some(now);
            repairs.push(Repair { to, batch: id.clone(), missing: batch.missing() });
        }
        repairs
    }

    /// Returns datagrams of a change, as far as they are known.
    pub fn again(&self, id: &BatchId, indexes: &[u16]) -> Vec<RecordsMessage> {
        let Some(batch) = self.batches.get(id) else { return Vec::new() };
        let message = |index: &u16| batch.messages.get(usize::from(*index))?.clone();
        indexes.iter().take(MAX_ASKED).filter_map(message).collect()
    }

    /// Forgets changes that nobody asks for any more.
    pub fn forget(&mut self, now: Instant) {
        self.batches.retain(|_, batch| now < batch.changed_at + KEEP_BATCH);
    }

    /// Returns the change that a datagram belongs to; a new one takes the place of the oldest.
    fn batch(&mut self, id: BatchId, message: &RecordsMessage, now: Instant) -> &mut Batch {
        if !self.batches.contains_key(&id) {
            self.make_room();
        }
        self.batches.entry(id).or_insert_with(|| Batch::new(message.part, message.count, now))
    }

    fn make_room(&mut self) {
        if self.batches.len() < MAX_BATCHES {
            return;
        }
        let oldest = self.batches.iter().min_by_key(|(_, batch)| batch.changed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.batches.remove(&id);
        }
    }
}
