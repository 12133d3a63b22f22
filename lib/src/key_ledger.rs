//! Ledger of idempotency keys: the outcomes of the requests that an instance ran as the owner of
//! their keys, and second copies of the records of other owners' keys, for which the instance is a
//! witness.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::StatusCode;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::{Epoch, InstanceId, ServiceId};

/// Retention period: time after which the record of a key expires, unless its request still runs.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of keys that one instance records; requests with further keys are refused.
pub const MAX_KEYS: usize = 100_000;
/// Largest body of a response that is stored for replay, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Maximum total size of the response bodies that one instance stores, in bytes. The oldest
/// responses are evicted first; their status codes are kept.
pub const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

const DIGEST_BYTES: usize = 16;

/// Digest of a service name and an idempotency key, which identifies the key in the ledger.
pub type KeyDigest = [u8; DIGEST_BYTES];

/// Returns the digest of a service name and an idempotency key.
pub fn key_digest(service: &str, key: &[u8]) -> KeyDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(key);
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    digest
}

/// A complete response that is stored to be replayed to retries.
#[derive(Clone, Debug)]
pub struct StoredResponse {
    /// Status and headers, without those that hold for one connection only.
    pub head: Parts,
    /// Complete body, of at most [`MAX_RESPONSE_BYTES`].
    pub body: Bytes,
}

/// Instance that claimed a key, in one of its runs. After a restart the instance counts as another
/// claimant, since a request that it dispatched before the restart may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Owner of the key when it was claimed.
    pub instance: InstanceId,
    /// Epoch of the instance, which changes when it restarts.
    pub epoch: Epoch,
}

#[derive(Clone, Debug)]
enum State {
    /// The request was accepted and has not been dispatched to a backend server.
    Accepted,
    /// The request was dispatched to a backend server and has not been answered.
    Dispatched,
    /// The request was answered with this status, and its response is not stored.
    Answered(StatusCode),
    /// The request was answered, and its response is stored for replay.
    Stored(Arc<StoredResponse>),
    /// It is not known whether the request has run.
    Unknown,
    /// Another instance claimed the key, and this instance, as its witness, does not know the
    /// outcome of the request.
    Witnessed(Claimant),
}

#[derive(Debug)]
struct Entry {
    service: ServiceId,
    fingerprint: u64,
    run_id: u64,
    state: State,
}

/// Result of [`KeyLedger::begin`].
#[derive(Clone, Debug)]
pub enum BeginOutcome {
    /// The key is new and the request may run, under this run id.
    Run(u64),
    /// The first request with the key is still running.
    Running,
    /// The first request with the key was answered with this status, and its response is not
    /// stored.
    Answered(StatusCode),
    /// The first request with the key was answered, and its response is stored.
    Stored(Arc<StoredResponse>),
    /// It is not known whether an earlier request with the same key has run.
    Unknown,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The ledger holds as many keys as its capacity allows.
    Full,
}

/// Records of the keys of which one instance is the owner or a witness.
///
/// A run id distinguishes successive records of one key, so that a request whose record was
/// replaced or has expired changes nothing.
#[derive(Debug)]
pub struct KeyLedger {
    capacity: usize,
    entries: HashMap<KeyDigest, Entry>,
    expiries: VecDeque<(Instant, KeyDigest, u64)>,
    stored: VecDeque<(KeyDigest, u64)>,
    stored_bytes: usize,
    last_run_id: u64,
}

impl Default for KeyLedger {
    fn default() -> Self {
        Self::new(MAX_KEYS)
    }
}

impl KeyLedger {
    /// Creates an empty ledger for at most `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::default(),
            expiries: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            last_run_id: 0,
        }
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a key and accepts its request, unless the key is recorded already or the ledger is
    /// full. The fingerprint detects a key that is reused for a different request.
    pub fn begin(
        &mut self,
        now: Instant,
        service: &ServiceId,
        digest: KeyDigest,
        fingerprint: u64,
    ) -> BeginOutcome {
        self.expire(now);
        if let Some(entry) = self.entries.get(&digest) {
            return entry.begin(fingerprint);
        }
        if self.entries.len() >= self.capacity {
            return BeginOutcome::Full;
        }
        BeginOutcome::Run(self.insert(now, service, digest, fingerprint, State::Accepted))
    }

    /// Marks a request as dispatched to a backend server. Returns `false` if the key's record no
    /// longer has this run id; the request must not be dispatched then.
    pub fn mark_dispatched(&mut self, digest: &KeyDigest, run_id: u64) -> bool {
        let Some(entry) = self.entry_of(digest, run_id) else { return false };
        entry.state = State::Dispatched;
        true
    }

    /// Deletes the record of a request that certainly has not run, so that its key can be used
    /// again.
    pub fn release(&mut self, digest: &KeyDigest, run_id: u64) {
        if self.entry_of(digest, run_id).is_some() {
            self.remove(digest);
        }
    }

    /// Records that it is not known whether a request has run.
    pub fn mark_unknown(&mut self, digest: &KeyDigest, run_id: u64) {
        if let Some(entry) = self.entry_of(digest, run_id) {
            entry.state = State::Unknown;
        }
    }

    /// Marks a request as answered with a status.
    pub fn mark_answered(&mut self, digest: &KeyDigest, run_id: u64, status: StatusCode) {
        if let Some(entry) = self.entry_of(digest, run_id) {
            entry.state = State::Answered(status);
        }
    }

    /// Stores the complete response to a request for replay. A body of more than
    /// [`MAX_RESPONSE_BYTES`] is not stored.
    pub fn store(&mut self, digest: &KeyDigest, run_id: u64, response: StoredResponse) {
        let bytes = response.body.len();
        let Some(entry) = self.entry_of(digest, run_id) else { return };
        if bytes > MAX_RESPONSE_BYTES {
            return;
        }
        entry.state = State::Stored(Arc::new(response));
        self.stored.push_back((*digest, run_id));
        self.stored_bytes += bytes;
        self.evict_oldest_responses();
    }

    /// Records another instance's claim of a key. Returns whether the key was already recorded,
    /// either for another claimant or for a request of this instance. A request that this instance
    /// has accepted and not dispatched does not count: the claim replaces its record.
    pub fn record_claim(
        &mut self,
        now: Instant,
        service: &ServiceId,
        digest: KeyDigest,
        claimant: Claimant,
    ) -> bool {
        self.expire(now);
        match self.entries.get(&digest).map(|entry| &entry.state) {
            Some(State::Witnessed(known)) => *known != claimant,
            Some(State::Accepted) | None => {
                self.insert(now, service, digest, 0, State::Witnessed(claimant));
                false
            }
            Some(_) => true,
        }
    }

    /// Deletes the record of a claim whose request certainly has not run, if the record is the
    /// claimant's.
    pub fn release_claim(&mut self, digest: &KeyDigest, claimant: &Claimant) {
        let state = self.entries.get(digest).map(|entry| &entry.state);
        if matches!(state, Some(State::Witnessed(known)) if known == claimant) {
            self.remove(digest);
        }
    }

    /// Returns the keys of which other instances need a record, with their services, in sorted
    /// order. Keys of accepted requests that were not dispatched are left out, since these requests
    /// have not run.
    pub fn keys(&self) -> Vec<(ServiceId, KeyDigest)> {
        let is_shared = |entry: &Entry| !matches!(entry.state, State::Accepted);
        let shared = self.entries.iter().filter(|(_, entry)| is_shared(entry));
        let mut keys: Vec<_> =
            shared.map(|(digest, entry)| (entry.service.clone(), *digest)).collect();
        keys.sort_unstable();
        keys
    }

    fn insert(
        &mut self,
        now: Instant,
        service: &ServiceId,
        digest: KeyDigest,
        fingerprint: u64,
        state: State,
    ) -> u64 {
        self.last_run_id += 1;
        let (service, run_id) = (service.clone(), self.last_run_id);
        self.entries.insert(digest, Entry { service, fingerprint, run_id, state });
        self.expiries.push_back((now + RETENTION, digest, run_id));
        run_id
    }

    /// Deletes a record, and its stored response from the total size.
    fn remove(&mut self, digest: &KeyDigest) {
        let Some(entry) = self.entries.remove(digest) else { return };
        if let State::Stored(response) = entry.state {
            self.stored_bytes -= response.body.len();
        }
    }

    fn entry_of(&mut self, digest: &KeyDigest, run_id: u64) -> Option<&mut Entry> {
        self.entries.get_mut(digest).filter(|entry| entry.run_id == run_id)
    }

    /// Deletes the records that are past the retention period. The record of a request that still
    /// runs is kept for another period.
    fn expire(&mut self, now: Instant) {
        while let Some((at, digest, run_id)) = self.expiries.front().copied() {
            if at > now {
                return;
            }
            self.expiries.pop_front();
            let is_running =
                |entry: &Entry| matches!(entry.state, State::Accepted | State::Dispatched);
            match self.entry_of(&digest, run_id) {
                Some(entry) if is_running(entry) => {
                    self.expiries.push_back((now + RETENTION, digest, run_id));
                }
                Some(_) => self.remove(&digest),
                None => {}
            }
        }
    }

    fn evict_oldest_responses(&mut self) {
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some((digest, run_id)) = self.stored.pop_front() else { return };
            let Some(entry) = self.entry_of(&digest, run_id) else { continue };
            let State::Stored(response) = &entry.state else { continue };
            let bytes = response.body.len();
            entry.state = State::Answered(response.head.status);
            self.stored_bytes -= bytes;
        }
    }
}

impl Entry {
    fn begin(&self, fingerprint: u64) -> BeginOutcome {
        // A claim carries no fingerprint, so a witness has none to compare.
        let is_own = !matches!(self.state, State::Witnessed(_));
        if is_own && self.fingerprint != fingerprint {
            return BeginOutcome::Mismatch;
        }
        match &self.state {
            State::Accepted | State::Dispatched => BeginOutcome::Running,
            State::Answered(status) => BeginOutcome::Answered(*status),
            State::Stored(response) => BeginOutcome::Stored(Arc::clone(response)),
            State::Unknown | State::Witnessed(_) => BeginOutcome::Unknown,
        }
    }
}
