//! Outcomes of requests by idempotency key, as the owner of a key and its witnesses keep them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::StatusCode;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::{Epoch, InstanceId, ServiceId};

/// How long the outcome of a key is kept.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Keys that one instance keeps.
pub const MAX_KEYS: usize = 100_000;
/// Largest answer that is kept whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Bytes of answers that one instance keeps.
pub const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

const DIGEST_BYTES: usize = 16;

/// Digest of a service's name and an idempotency key.
pub type KeyDigest = [u8; DIGEST_BYTES];

/// Returns the digest of a key of a service.
pub fn key_digest(service: &str, key: &[u8]) -> KeyDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(key);
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    digest
}

/// A whole answer that is kept for repeats.
#[derive(Clone, Debug)]
pub struct StoredAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

/// Run of an instance that recorded a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorder {
    /// Instance.
    pub instance: InstanceId,
    /// Its run.
    pub epoch: Epoch,
}

#[derive(Clone, Debug)]
enum State {
    Accepted,
    Dispatched,
    Answered(StatusCode),
    Stored(Arc<StoredAnswer>),
    Unknown,
    Witnessed(Recorder),
}

#[derive(Debug)]
struct Entry {
    service: ServiceId,
    fingerprint: u64,
    run: u64,
    state: State,
}

/// What a request with a key meets.
#[derive(Clone, Debug)]
pub enum BeginOutcome {
    /// The key is new: the request may run, under this number.
    Run(u64),
    /// The first request of the key is still running.
    Running,
    /// The first request of the key was answered.
    Answered(StatusCode),
    /// The first request of the key was answered, and the answer is kept.
    Stored(Arc<StoredAnswer>),
    /// The first request of the key may have run.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// There is no room for another key.
    Full,
}

/// Outcomes by key of one instance.
#[derive(Debug)]
pub struct KeyLedger {
    capacity: usize,
    entries: HashMap<KeyDigest, Entry>,
    expiries: VecDeque<(Instant, KeyDigest, u64)>,
    answers: VecDeque<(KeyDigest, u64)>,
    stored_bytes: usize,
    next_run: u64,
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
            answers: VecDeque::new(),
            stored_bytes: 0,
            next_run: 0,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Accepts a request with a key, unless its outcome is known. `fingerprint` tells requests
    /// apart that differ in more than the key.
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

    /// Notes that an accepted request is about to be handed to a backend server, and tells whether
    /// it may be: the key is still that run's.
    pub fn mark_dispatched(&mut self, digest: &KeyDigest, run: u64) -> bool {
        let Some(entry) = self.run_of(digest, run) else { return false };
        entry.state = State::Dispatched;
        true
    }

    /// Notes that a request certainly has not run: its key is free again.
    pub fn release(&mut self, digest: &KeyDigest, run: u64) {
        if self.run_of(digest, run).is_some() {
            self.entries.remove(digest);
        }
    }

    /// Notes that a request may have run.
    pub fn settle_unknown(&mut self, digest: &KeyDigest, run: u64) {
        if let Some(entry) = self.run_of(digest, run) {
            entry.state = State::Unknown;
        }
    }

    /// Notes that a request is being answered.
    pub fn settle_answered(&mut self, digest: &KeyDigest, run: u64, status: StatusCode) {
        if let Some(entry) = self.run_of(digest, run) {
            entry.state = State::Answered(status);
        }
    }

    /// Keeps the whole answer to a request.
    pub fn store(&mut self, digest: &KeyDigest, run: u64, answer: StoredAnswer) {
        let bytes = answer.body.len();
        let Some(entry) = self.run_of(digest, run) else { return };
        if bytes > MAX_ANSWER_BYTES {
            return;
        }
        entry.state = State::Stored(Arc::new(answer));
        self.answers.push_back((*digest, run));
        self.stored_bytes += bytes;
        self.drop_oldest_answers();
    }

    /// Records that another instance claims a key, and tells whether the key was known before from
    /// anyone else. A request of the key that was accepted here and not handed over loses the key.
    pub fn witness(
        &mut self,
        now: Instant,
        service: &ServiceId,
        digest: KeyDigest,
        recorder: Recorder,
    ) -> bool {
        self.expire(now);
        match self.entries.get(&digest).map(|entry| &entry.state) {
            Some(State::Witnessed(known)) => *known != recorder,
            Some(State::Accepted) | None => {
                self.insert(now, service, digest, 0, State::Witnessed(recorder));
                false
            }
            Some(_) => true,
        }
    }

    /// Forgets a key that `recorder` claimed and that certainly has not run.
    pub fn release_witnessed(&mut self, digest: &KeyDigest, recorder: &Recorder) {
        let state = self.entries.get(digest).map(|entry| &entry.state);
        if matches!(state, Some(State::Witnessed(known)) if known == recorder) {
            self.entries.remove(digest);
        }
    }

    /// Returns the keys that others have to know, with their services, in a fixed order.
    pub fn keys(&self) -> Vec<(ServiceId, KeyDigest)> {
        let is_told = |entry: &Entry| !matches!(entry.state, State::Accepted);
        let told = self.entries.iter().filter(|(_, entry)| is_told(entry));
        let mut keys: Vec<_> =
            told.map(|(digest, entry)| (entry.service.clone(), *digest)).collect();
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
        self.next_run += 1;
        let (service, run) = (service.clone(), self.next_run);
        self.entries.insert(digest, Entry { service, fingerprint, run, state });
        self.expiries.push_back((now + RETENTION, digest, run));
        run
    }

    fn run_of(&mut self, digest: &KeyDigest, run: u64) -> Option<&mut Entry> {
        self.entries.get_mut(digest).filter(|entry| entry.run == run)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, digest, run)) = self.expiries.front().copied() {
            if at > now {
                return;
            }
            self.expiries.pop_front();
            let is_open =
                |entry: &Entry| matches!(entry.state, State::Accepted | State::Dispatched);
            match self.run_of(&digest, run) {
                Some(entry) if is_open(entry) => {
                    self.expiries.push_back((now + RETENTION, digest, run));
                }
                Some(_) => drop(self.entries.remove(&digest)),
                None => {}
            }
        }
    }

    fn drop_oldest_answers(&mut self) {
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some((digest, run)) = self.answers.pop_front() else { return };
            let Some(entry) = self.run_of(&digest, run) else { continue };
            let State::Stored(answer) = &entry.state else { continue };
            let bytes = answer.body.len();
            entry.state = State::Answered(answer.head.status);
            self.stored_bytes -= bytes;
        }
    }
}

impl Entry {
    fn begin(&self, fingerprint: u64) -> BeginOutcome {
        let is_own = !matches!(self.state, State::Witnessed(_));
        if is_own && self.fingerprint != fingerprint {
            return BeginOutcome::Mismatch;
        }
        match &self.state {
            State::Accepted | State::Dispatched => BeginOutcome::Running,
            State::Answered(status) => BeginOutcome::Answered(*status),
            State::Stored(answer) => BeginOutcome::Stored(Arc::clone(answer)),
            State::Unknown | State::Witnessed(_) => BeginOutcome::Unknown,
        }
    }
}
