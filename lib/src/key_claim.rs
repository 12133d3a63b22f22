//! Claims of keys: the owner of a key records it at a witness before the request runs.
//!
//! The owner of a key is the first instance in the rank order of the key's bucket, and the next
//! ones are its witnesses. They are also the next owners, so a repeat that arrives after the owner
//! was lost finds its key known. After a change of the view, the keys are passed to their new first
//! two instances, and until that is done a claim asks every owner of the service.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::envelope::Origin;
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::key_coverage::KeyCoverage;
use crate::key_ledger::{KeyDigest, KeyLedger, Recorder};
use crate::owner::{bucket_of, OwnerSet};
use crate::plan::{Plan, ServicePlan};
use crate::view::View;

/// Time between two copies of a claim.
pub const RESEND: Duration = Duration::from_millis(40);
/// Copies of a claim that one witness is sent.
pub const COPIES: u32 = 3;
/// Longest time between a claim and the hand-over to a backend server.
pub const FENCE: Duration = Duration::from_secs(1);
/// Time after a change of the view in which a claim asks every owner.
pub const SETTLE_TIME: Duration = Duration::from_secs(60);

const KEYS_PER_MESSAGE: usize = 16;
const PASS_INTERVAL: Duration = Duration::from_millis(200);

value_type! {
    /// Message about keys.
    pub enum KeyMessage {
        /// The sender, who owns a key, is about to run its request.
        Claim {
            /// Number by which the sender recognises the answer.
            nonce: u64,
            /// Service.
            service: ServiceId,
            /// Key.
            digest: KeyDigest,
        },
        /// Answer to a claim.
        Claimed {
            /// Number of the claim.
            nonce: u64,
            /// Whether the key was known from anyone else.
            is_known: bool,
            /// Whether the answerer would know every key of the retention.
            covers: bool,
        },
        /// The request of a claimed key certainly has not run.
        Release {
            /// Key.
            digest: KeyDigest,
        },
        /// Keys that the receiver is to know, because it owns or witnesses them now.
        Pass {
            /// Service.
            service: ServiceId,
            /// Keys.
            digests: Vec<KeyDigest>,
        },
    }
}

/// A message and where to send it.
pub type Outgoing = (SocketAddr, KeyMessage);

/// Answer of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Whether the key was known from anyone else.
    pub is_known: bool,
    /// Whether the witness would know every key of the retention.
    pub covers: bool,
}

struct Passing {
    view_digest: u64,
    changed: Option<Instant>,
    next: Instant,
    queue: VecDeque<(ServiceId, KeyDigest)>,
}

/// Keys of one instance, and its open claims.
pub struct KeyRegistry {
    me: InstanceId,
    ledger: Mutex<KeyLedger>,
    coverage: Mutex<KeyCoverage>,
    passing: Mutex<Passing>,
    open: Mutex<HashMap<u64, oneshot::Sender<Acknowledgement>>>,
    next_nonce: AtomicU64,
}

impl KeyRegistry {
    /// Creates the registry of an instance that starts at `now`.
    pub fn new(me: InstanceId, data_centre: DataCentreId, now: Instant) -> Self {
        let passing = Passing { view_digest: 0, changed: None, next: now, queue: VecDeque::new() };
        Self {
            me,
            ledger: Mutex::new(KeyLedger::default()),
            coverage: Mutex::new(KeyCoverage::new(data_centre, now)),
            passing: Mutex::new(passing),
            open: Mutex::new(HashMap::default()),
            next_nonce: AtomicU64::new(0),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Mutex<KeyLedger> {
        &self.ledger
    }

    /// Tells whether this instance would know every key of the retention.
    pub fn covers(&self, now: Instant) -> bool {
        self.coverage.lock().is_complete(now)
    }

    /// Tells whether a request with a key may run at this instance now.
    pub fn may_run(&self, now: Instant) -> bool {
        self.coverage.lock().may_run(now)
    }

    /// Opens a claim: returns its number and the channel of its answer.
    pub fn open_claim(&self) -> (u64, oneshot::Receiver<Acknowledgement>) {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        self.open.lock().insert(nonce, tx);
        (nonce, rx)
    }

    /// Closes a claim.
    pub fn close_claim(&self, nonce: u64) {
        self.open.lock().remove(&nonce);
    }

    /// Returns the instances that a claim is sent to, in order, and how many of them have to be
    /// asked; `None` when this instance does not own the key.
    pub fn witnesses(&self, plan: &Plan, key: &OwnedKey<'_>, now: Instant) -> Option<Witnesses> {
        let ranked = key.owners.ranked(bucket_of(key_hash(&key.digest)));
        let (owner, others) = ranked.split_first()?;
        if **owner != self.me {
            return None;
        }
        let address = |id: &&InstanceId| plan.view.get(id).map(|member| member.peer);
        let addresses: Vec<_> = others.iter().filter_map(address).collect();
        let changed = self.passing.lock().changed;
        let asks_all = changed.is_some_and(|at| now < at + SETTLE_TIME);
        Some(Witnesses { addresses, asks_all })
    }

    /// Handles a message, and returns the answer to it.
    pub fn handle(&self, now: Instant, origin: &Origin, message: KeyMessage) -> Option<KeyMessage> {
        let recorder = Recorder { instance: origin.sender.clone(), epoch: origin.epoch };
        match message {
            KeyMessage::Claim { nonce, service, digest } => {
                let is_known = self.ledger.lock().witness(now, &service, digest, recorder);
                Some(KeyMessage::Claimed { nonce, is_known, covers: self.covers(now) })
            }
            KeyMessage::Claimed { nonce, is_known, covers } => {
                if let Some(tx) = self.open.lock().remove(&nonce) {
                    // The receiver may have gone.
                    let _ = tx.send(Acknowledgement { is_known, covers });
                }
                None
            }
            KeyMessage::Release { digest } => {
                self.ledger.lock().release_witnessed(&digest, &recorder);
                None
            }
            KeyMessage::Pass { service, digests } => {
                let mut ledger = self.ledger.lock();
                for digest in digests {
                    ledger.witness(now, &service, digest, recorder.clone());
                }
                None
            }
        }
    }

    /// Notes a change of the view.
    pub fn note_view(&self, now: Instant, before: &View, after: &View) {
        self.coverage.lock().note_view(now, before, after);
        let mut passing = self.passing.lock();
        if passing.view_digest != after.digest() {
            passing.view_digest = after.digest();
            passing.changed = Some(now);
            passing.queue = self.ledger.lock().keys().into();
        }
    }

    /// Returns the keys to pass on now, a few at a time.
    pub fn tick(&self, now: Instant, plan: &Plan) -> Vec<Outgoing> {
        self.coverage.lock().tick(now);
        let mut passing = self.passing.lock();
        if passing.queue.is_empty() || now < passing.next {
            return Vec::new();
        }
        passing.next = now + PASS_INTERVAL;
        self.pass(plan, &mut passing.queue)
    }

    /// Returns all keys at once, for those that know them after this instance has gone.
    pub fn transfer_all(&self, plan: &Plan) -> Vec<Outgoing> {
        let mut queue: VecDeque<_> = self.ledger.lock().keys().into();
        let mut outgoing = Vec::new();
        while !queue.is_empty() {
            outgoing.extend(self.pass(plan, &mut queue));
        }
        outgoing
    }

    fn pass(&self, plan: &Plan, queue: &mut VecDeque<(ServiceId, KeyDigest)>) -> Vec<Outgoing> {
        let mut messages: Vec<Outgoing> = Vec::new();
        for (name, digest) in queue.drain(..queue.len().min(KEYS_PER_MESSAGE)) {
            let Some(service) = plan.service(&name) else { continue };
            for address in self.heirs(plan, service, &digest) {
                add(&mut messages, address, &name, digest);
            }
        }
        messages
    }

    fn heirs(&self, plan: &Plan, service: &ServicePlan, digest: &KeyDigest) -> Vec<SocketAddr> {
        let Some(owners) = key_owners(service, digest) else { return Vec::new() };
        let ranked = owners.ranked(bucket_of(key_hash(digest)));
        let heirs = ranked.into_iter().take(2).filter(|id| **id != self.me);
        heirs.filter_map(|id| plan.view.get(id)).map(|member| member.peer).collect()
    }
}

/// A key and the owners of its service.
#[derive(Clone, Copy, Debug)]
pub struct OwnedKey<'a> {
    /// Key.
    pub digest: KeyDigest,
    /// Owners of its service in the key's data centre.
    pub owners: &'a OwnerSet,
}

/// The instances that a claim is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witnesses {
    /// Addresses, the next owner first.
    pub addresses: Vec<SocketAddr>,
    /// Whether all have to be asked, and not only one.
    pub asks_all: bool,
}

/// Returns the number by which a key is ranked.
pub fn key_hash(digest: &KeyDigest) -> u64 {
    digest[..8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Returns the owners of a key's service in the data centre that the key belongs to.
pub fn key_owners<'a>(service: &'a ServicePlan, digest: &KeyDigest) -> Option<&'a OwnerSet> {
    let home = service.homes.first(key_hash(digest), |home| home.is_open());
    home.map(|home| &home.owners)
}

fn add(messages: &mut Vec<Outgoing>, address: SocketAddr, name: &ServiceId, digest: KeyDigest) {
    for (to, message) in messages.iter_mut() {
        match message {
            KeyMessage::Pass { service, digests } if *to == address && service == name => {
                return digests.push(digest);
            }
            _ => {}
        }
    }
    let message = KeyMessage::Pass { service: name.clone(), digests: vec![digest] };
    messages.push((address, message));
}
