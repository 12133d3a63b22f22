//! Claims of idempotency keys: before the owner of a key dispatches the request to a backend
//! server, it has a witness record the key.
//!
//! A witness is an instance that holds a second copy of the record of a key that another instance
//! owns. The owner of a key is the first instance in the rendezvous order of the key's bucket; the
//! next ones are its witnesses. The first witness is also the next owner in line, so a retry that
//! arrives after the owner has failed finds the key recorded. After a membership change, each
//! instance transfers its keys to their new owner and first witness. Until these transfers are
//! done, a claim goes to every owner of the service.

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
use crate::key_ledger::{Claimant, KeyDigest, KeyLedger};
use crate::owner::{bucket_of, OwnerSet};
use crate::plan::{Plan, ServicePlan};
use crate::view::View;

/// Time after which a claim that a witness has not acknowledged is retransmitted.
pub const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of times that a claim is sent to one witness, the first transmission included.
pub const MAX_TRANSMISSIONS: u32 = 3;
/// Longest time between the start of a claim and the dispatch of its request. An older claim is not
/// used, since ownership of the key may have moved in the meantime.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(1);
/// Time after a membership change during which a claim goes to every owner of the service, since
/// the key may not have reached its new owner and witness yet.
pub const TRANSFER_TIME: Duration = Duration::from_secs(60);

const KEYS_PER_MESSAGE: usize = 16;
const TRANSFER_INTERVAL: Duration = Duration::from_millis(200);

value_type! {
    /// Message between instances about idempotency keys.
    pub enum KeyMessage {
        /// The sender owns the key and is about to dispatch its request to a backend server.
        Claim {
            /// Identifies the claim among those of the sender; the acknowledgement repeats it.
            nonce: u64,
            /// Service that the request is for.
            service: ServiceId,
            /// Digest of the service name and the key.
            digest: KeyDigest,
        },
        /// Acknowledgement of a claim: the witness has recorded the key.
        Claimed {
            /// Nonce of the acknowledged claim.
            nonce: u64,
            /// Whether the witness already had a record of the key from another claimant or from a
            /// run of its own.
            is_known: bool,
            /// Whether the records of the witness are complete, so that a key without a record
            /// there was certainly not used within the retention period of key records.
            covers: bool,
        },
        /// The request of a claimed key has certainly not run, so the receiver deletes its record.
        Release {
            /// Digest of the released key.
            digest: KeyDigest,
        },
        /// Transfer of keys of which the receiver is now the owner or a witness.
        Pass {
            /// Service that all the keys belong to.
            service: ServiceId,
            /// Digests of the transferred keys.
            digests: Vec<KeyDigest>,
        },
    }
}

/// A message and the address of its receiver.
pub type Outgoing = (SocketAddr, KeyMessage);

/// Acknowledgement of a claim by a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Whether the witness already had a record of the key from another claimant or from a run of
    /// its own.
    pub is_known: bool,
    /// Whether the records of the witness are complete, so that a key without a record there was
    /// certainly not used within the retention period of key records.
    pub has_complete_records: bool,
}

/// Progress of the transfer of keys after a membership change.
struct KeyTransfer {
    view_digest: u64,
    view_changed: Option<Instant>,
    next_batch: Instant,
    queue: VecDeque<(ServiceId, KeyDigest)>,
}

/// Records of the idempotency keys of which one instance is the owner or a witness, with its
/// pending claims.
pub struct KeyRegistry {
    instance: InstanceId,
    ledger: Mutex<KeyLedger>,
    coverage: Mutex<KeyCoverage>,
    transfer: Mutex<KeyTransfer>,
    pending_claims: Mutex<HashMap<u64, oneshot::Sender<Acknowledgement>>>,
    next_nonce: AtomicU64,
}

impl KeyRegistry {
    /// Creates the registry of an instance that starts at `now`.
    pub fn new(instance: InstanceId, data_centre: DataCentreId, now: Instant) -> Self {
        let transfer = KeyTransfer {
            view_digest: 0,
            view_changed: None,
            next_batch: now,
            queue: VecDeque::new(),
        };
        Self {
            instance,
            ledger: Mutex::new(KeyLedger::default()),
            coverage: Mutex::new(KeyCoverage::new(data_centre, now)),
            transfer: Mutex::new(transfer),
            pending_claims: Mutex::new(HashMap::default()),
            next_nonce: AtomicU64::new(0),
        }
    }

    /// Returns the ledger of the keys of which this instance is the owner or a witness.
    pub fn ledger(&self) -> &Mutex<KeyLedger> {
        &self.ledger
    }

    /// Returns whether the records of this instance are complete, so that a key without a record
    /// here was certainly not used within the retention period of key records.
    pub fn has_complete_records(&self, now: Instant) -> bool {
        self.coverage.lock().is_complete(now)
    }

    /// Returns whether this instance may run requests with idempotency keys now.
    pub fn may_run(&self, now: Instant) -> bool {
        self.coverage.lock().may_run(now)
    }

    /// Registers a pending claim and returns its nonce and the channel on which its acknowledgement
    /// arrives.
    pub fn open_claim(&self) -> (u64, oneshot::Receiver<Acknowledgement>) {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        self.pending_claims.lock().insert(nonce, tx);
        (nonce, rx)
    }

    /// Removes a pending claim; a later acknowledgement of it is ignored.
    pub fn close_claim(&self, nonce: u64) {
        self.pending_claims.lock().remove(&nonce);
    }

    /// Returns the instances to send a claim to, in rank order, or `None` when this instance does
    /// not own the key.
    pub fn witnesses(&self, plan: &Plan, key: &OwnedKey<'_>, now: Instant) -> Option<Witnesses> {
        let ranked = key.owners.ranked(bucket_of(key_hash(&key.digest)));
        let (owner, others) = ranked.split_first()?;
        if **owner != self.instance {
            return None;
        }
        let address = |id: &&InstanceId| plan.view.get(id).map(|member| member.peer);
        let addresses: Vec<_> = others.iter().filter_map(address).collect();
        let view_changed = self.transfer.lock().view_changed;
        let is_broadcast = view_changed.is_some_and(|at| now < at + TRANSFER_TIME);
        Some(Witnesses { addresses, is_broadcast })
    }

    /// Handles a message of another instance. Returns the acknowledgement of a claim, and `None`
    /// for all other messages.
    pub fn handle(&self, now: Instant, origin: &Origin, message: KeyMessage) -> Option<KeyMessage> {
        let claimant = Claimant { instance: origin.sender.clone(), epoch: origin.epoch };
        match message {
            KeyMessage::Claim { nonce, service, digest } => {
                let is_known = self.ledger.lock().record_claim(now, &service, digest, claimant);
                Some(KeyMessage::Claimed {
                    nonce,
                    is_known,
                    covers: self.has_complete_records(now),
                })
            }
            KeyMessage::Claimed { nonce, is_known, covers } => {
                if let Some(tx) = self.pending_claims.lock().remove(&nonce) {
                    // The request may have been cancelled, which drops the receiver.
                    let _ = tx.send(Acknowledgement { is_known, has_complete_records: covers });
                }
                None
            }
            KeyMessage::Release { digest } => {
                self.ledger.lock().release_claim(&digest, &claimant);
                None
            }
            KeyMessage::Pass { service, digests } => {
                let mut ledger = self.ledger.lock();
                for digest in digests {
                    ledger.record_claim(now, &service, digest, claimant.clone());
                }
                None
            }
        }
    }

    /// Handles a change of the membership view. If the digest of the view has changed, queues all
    /// keys for transfer; for [`TRANSFER_TIME`] after that, claims go to every owner of the
    /// service.
    pub fn note_view(&self, now: Instant, before: &View, after: &View) {
        self.coverage.lock().note_view(now, before, after);
        let mut transfer = self.transfer.lock();
        if transfer.view_digest != after.digest() {
            transfer.view_digest = after.digest();
            transfer.view_changed = Some(now);
            transfer.queue = self.ledger.lock().keys().into();
        }
    }

    /// Removes the next batch of keys from the transfer queue if one is due, and returns the
    /// messages that transfer these keys. Batches are small and spaced out to bound the control
    /// traffic after a membership change.
    pub fn tick(&self, now: Instant, plan: &Plan) -> Vec<Outgoing> {
        self.coverage.lock().tick(now);
        let mut transfer = self.transfer.lock();
        if transfer.queue.is_empty() || now < transfer.next_batch {
            return Vec::new();
        }
        transfer.next_batch = now + TRANSFER_INTERVAL;
        self.transfer_batch(plan, &mut transfer.queue)
    }

    /// Returns the messages that transfer all keys at once, for an instance that is leaving.
    pub fn transfer_all(&self, plan: &Plan) -> Vec<Outgoing> {
        let mut queue: VecDeque<_> = self.ledger.lock().keys().into();
        let mut outgoing = Vec::new();
        while !queue.is_empty() {
            outgoing.extend(self.transfer_batch(plan, &mut queue));
        }
        outgoing
    }

    fn transfer_batch(
        &self,
        plan: &Plan,
        queue: &mut VecDeque<(ServiceId, KeyDigest)>,
    ) -> Vec<Outgoing> {
        let mut messages: Vec<Outgoing> = Vec::new();
        for (name, digest) in queue.drain(..queue.len().min(KEYS_PER_MESSAGE)) {
            let Some(service) = plan.service(&name) else { continue };
            for address in self.recipients(plan, service, &digest) {
                push_key(&mut messages, address, &name, digest);
            }
        }
        messages
    }

    /// Returns the addresses of the instances that are to record a key, without this instance.
    fn recipients(
        &self,
        plan: &Plan,
        service: &ServicePlan,
        digest: &KeyDigest,
    ) -> Vec<SocketAddr> {
        let Some(owners) = key_owners(service, digest) else { return Vec::new() };
        let ranked = owners.ranked(bucket_of(key_hash(digest)));
        // Each key is recorded by its owner and one witness.
        let recipients = ranked.into_iter().take(2).filter(|id| **id != self.instance);
        recipients.filter_map(|id| plan.view.get(id)).map(|member| member.peer).collect()
    }
}

/// A key and the instances that may be its owner or its witnesses.
#[derive(Clone, Copy, Debug)]
pub struct OwnedKey<'a> {
    /// Digest of the service name and the key.
    pub digest: KeyDigest,
    /// Owners of the service in the key's home data centre.
    pub owners: &'a OwnerSet,
}

/// The instances to send a claim to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witnesses {
    /// Addresses in rank order: the first witness is the next owner in line.
    pub addresses: Vec<SocketAddr>,
    /// Whether the claim is sent to all witnesses at once; otherwise it is sent to one after
    /// another until one acknowledges it.
    pub is_broadcast: bool,
}

/// Returns the hash that selects the home data centre and the bucket of a key.
pub fn key_hash(digest: &KeyDigest) -> u64 {
    digest[..8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Returns the owners of a service in the home data centre of a key, or `None` when no data centre
/// that serves the service is available.
pub fn key_owners<'a>(service: &'a ServicePlan, digest: &KeyDigest) -> Option<&'a OwnerSet> {
    let home = service.homes.first(key_hash(digest), |home| home.is_available());
    home.map(|home| &home.owners)
}

/// Adds a key to the message for its recipient and service, or starts that message.
fn push_key(
    messages: &mut Vec<Outgoing>,
    address: SocketAddr,
    name: &ServiceId,
    digest: KeyDigest,
) {
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
