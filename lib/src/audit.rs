//! Bounded ledger of the traffic of each caller, by service, target and reason of the decision.
//!
//! The ledger consists of shards, each with its own lock, so that threads rarely contend; the hash
//! of a caller's address selects its shard. When a shard is full, the entries with the fewest events
//! are evicted: their counts move to the tail, which has one sum for each service. Every event is
//! therefore counted exactly once, and the count of an entry is too low by at most its `missed`.

use std::net::IpAddr;
use std::ops::AddAssign;

use parking_lot::Mutex;

use crate::collections::HashMap;
use crate::ids::{ServiceId, TargetId};

const SHARD_COUNT: usize = 16;

copy_type! {
    /// Event in the traffic of a caller.
    #[serde(rename_all = "snake_case")]
    pub enum AuditEvent {
        /// A packet that opens a connection was sent to a target; its retransmissions count again.
        Opened,
        /// A packet was sent to a target.
        Delivered,
        /// A packet was relayed to another instance.
        Relayed,
        /// A packet was dropped.
        Dropped,
        /// A request ran, and its response was returned.
        Run,
        /// A request was rejected without having run.
        NotRun,
        /// A request ended with an unknown outcome: it may or may not have run.
        Unknown,
        /// A request was shed in favour of requests with higher precedence.
        Shed,
        /// A flow was moved to another target.
        Moved,
        /// A flow was reset, since it could not be continued.
        GivenUp,
    }

    /// Number of events of each [`AuditEvent`].
    #[derive(Default)]
    pub struct AuditCounts {
        /// Packets that open a connection and were sent to a target, retransmissions included.
        pub opened: u64,
        /// Packets that were sent to a target.
        pub delivered: u64,
        /// Packets that were relayed to another instance.
        pub relayed: u64,
        /// Packets that were dropped.
        pub dropped: u64,
        /// Requests that ran and whose response was returned.
        pub run: u64,
        /// Requests that were rejected without having run.
        pub not_run: u64,
        /// Requests that ended with an unknown outcome: they may or may not have run.
        pub unknown: u64,
        /// Requests that were shed in favour of requests with higher precedence.
        pub shed: u64,
        /// Flows that were moved to another target.
        pub moved: u64,
        /// Flows that were reset, since they could not be continued.
        pub given_up: u64,
    }
}

impl AuditCounts {
    /// Adds one event.
    pub fn count(&mut self, event: AuditEvent) {
        let counter = match event {
            AuditEvent::Opened => &mut self.opened,
            AuditEvent::Delivered => &mut self.delivered,
            AuditEvent::Relayed => &mut self.relayed,
            AuditEvent::Dropped => &mut self.dropped,
            AuditEvent::Run => &mut self.run,
            AuditEvent::NotRun => &mut self.not_run,
            AuditEvent::Unknown => &mut self.unknown,
            AuditEvent::Shed => &mut self.shed,
            AuditEvent::Moved => &mut self.moved,
            AuditEvent::GivenUp => &mut self.given_up,
        };
        *counter += 1;
    }

    /// Returns the number of events of all kinds.
    pub fn total(&self) -> u64 {
        let packets = self.opened + self.delivered + self.relayed + self.dropped;
        let requests = self.run + self.not_run + self.unknown + self.shed;
        packets + requests + self.moved + self.given_up
    }
}

impl AddAssign for AuditCounts {
    fn add_assign(&mut self, other: Self) {
        self.opened += other.opened;
        self.delivered += other.delivered;
        self.relayed += other.relayed;
        self.dropped += other.dropped;
        self.run += other.run;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.shed += other.shed;
        self.moved += other.moved;
        self.given_up += other.given_up;
    }
}

/// Key of an entry in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuditKey {
    /// IP address of the caller.
    pub caller: IpAddr,
    /// Service that the traffic was addressed to.
    pub service: ServiceId,
    /// Target that the traffic was sent to; `None` if it did not go to a target.
    pub target: Option<TargetId>,
    /// Reason of the decision, such as `delivered` or `no_grant`.
    pub reason: &'static str,
}

value_type! {
    /// Entry of the ledger as reported to operators.
    pub struct AuditRow {
        /// IP address of the caller.
        pub caller: IpAddr,
        /// Service that the traffic was addressed to.
        pub service: ServiceId,
        /// Target that the traffic was sent to; `None` if it did not go to a target.
        pub target: Option<TargetId>,
        /// Reason of the decision, such as `delivered` or `no_grant`.
        pub reason: String,
        /// Events since the entry was last created.
        pub counts: AuditCounts,
        /// Maximum number of events of this row that the tail may contain instead, from before the
        /// entry was last created.
        pub missed: u64,
    }

    /// Sum of the evicted rows of one service.
    pub struct TailRow {
        /// Service that the traffic was addressed to.
        pub service: ServiceId,
        /// Events of the evicted rows.
        pub counts: AuditCounts,
    }

    /// Contents of the ledger of one instance since its start.
    pub struct AuditSnapshot {
        /// Rows, in descending order of their number of events.
        pub rows: Vec<AuditRow>,
        /// Sums of the evicted rows, ordered by service.
        pub tail: Vec<TailRow>,
    }
}

#[derive(Debug, Default)]
struct Entry {
    counts: AuditCounts,
    missed: u64,
}

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<AuditKey, Entry>,
    tail: HashMap<ServiceId, AuditCounts>,
    /// Largest number of events that any evicted key may have had. A new entry starts with it as
    /// `missed`, since its key may have been evicted before.
    largest_evicted: u64,
}

impl Shard {
    fn count(&mut self, key: &AuditKey, event: AuditEvent, capacity: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            return entry.counts.count(event);
        }
        if self.entries.len() >= capacity {
            self.evict_smaller_half(capacity);
        }
        let mut entry = Entry { missed: self.largest_evicted, ..Entry::default() };
        entry.counts.count(event);
        self.entries.insert(key.clone(), entry);
    }

    /// Evicts the half of the entries with the fewest events. Finding the smallest entries needs a
    /// pass over the whole shard; evicting half of them at once spreads its cost over many events.
    fn evict_smaller_half(&mut self, capacity: usize) {
        let mut totals: Vec<_> = self.entries.values().map(|entry| entry.counts.total()).collect();
        let median = totals.len() / 2;
        let threshold = *totals.select_nth_unstable(median).1;
        let mut remaining = capacity - capacity / 2;
        let (tail, largest) = (&mut self.tail, &mut self.largest_evicted);
        self.entries.retain(|key, entry| {
            let total = entry.counts.total();
            if total > threshold || remaining == 0 {
                return true;
            }
            remaining -= 1;
            *largest = (*largest).max(total + entry.missed);
            *tail.entry(key.service.clone()).or_default() += entry.counts;
            false
        });
    }
}

/// Ledger that counts the traffic of callers; see the module documentation.
#[derive(Debug)]
pub struct AuditLedger {
    shards: Vec<Mutex<Shard>>,
    capacity: usize,
}

impl AuditLedger {
    /// Creates an empty ledger for about `capacity` rows, spread evenly over the shards. Each shard
    /// keeps at least 2 rows.
    pub fn new(capacity: usize) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::default())).collect();
        Self { shards, capacity: (capacity / SHARD_COUNT).max(2) }
    }

    /// Adds one event to the entry with this key.
    pub fn count(&self, key: &AuditKey, event: AuditEvent) {
        self.shards[shard_of(key.caller)].lock().count(key, event, self.capacity);
    }

    /// Returns a copy of the contents. The shards are copied one after another, so the copy may
    /// contain only some of the events counted meanwhile.
    pub fn snapshot(&self) -> AuditSnapshot {
        let mut rows = Vec::new();
        let mut tail = std::collections::BTreeMap::new();
        for shard in &self.shards {
            let shard = shard.lock();
            rows.extend(shard.entries.iter().map(|(key, entry)| row(key, entry)));
            for (service, counts) in &shard.tail {
                *tail.entry(service.clone()).or_insert_with(AuditCounts::default) += *counts;
            }
        }
        rows.sort_by(|a: &AuditRow, b| sort_key(a).cmp(&sort_key(b)));
        let tail = tail.into_iter().map(|(service, counts)| TailRow { service, counts });
        AuditSnapshot { rows, tail: tail.collect() }
    }
}

type SortKey<'a> = (std::cmp::Reverse<u64>, IpAddr, &'a str, Option<&'a str>, &'a str);

fn sort_key(row: &AuditRow) -> SortKey<'_> {
    let total = std::cmp::Reverse(row.counts.total());
    (total, row.caller, &row.service, row.target.as_deref(), &row.reason)
}

fn row(key: &AuditKey, entry: &Entry) -> AuditRow {
    AuditRow {
        caller: key.caller,
        service: key.service.clone(),
        target: key.target.clone(),
        reason: key.reason.to_owned(),
        counts: entry.counts,
        missed: entry.missed,
    }
}

fn shard_of(caller: IpAddr) -> usize {
    let folded = match caller {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => {
            let bits = u128::from(ip);
            (bits >> 64) as u64 ^ bits as u64
        }
    };
    crate::owner::score(0, folded) as usize % SHARD_COUNT
}
