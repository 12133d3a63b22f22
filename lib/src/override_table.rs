//! Placement overrides: flows whose target differs from the one that the base table gives.
//!
//! An instance holds the placement overrides of its own flows and copies of those of other
//! instances. It replicates each one to the next owner in rank of the flow's bucket, which takes the
//! flow over.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::binding::TCP_IDLE_TIMEOUT;
use crate::flow_messages::{OverrideBatch, Run, WireOverride};
use crate::ids::{FlowHash, InstanceId, ServiceId, TargetId};
use crate::owner::bucket_of;
use crate::plan::{Plan, ServicePlan};
use crate::record::Precedence;
use crate::target::TargetHandle;

/// Largest number of flows in one batch.
pub const MAX_BATCH_FLOWS: usize = 64;
/// Time after which the placement overrides of an unacknowledged batch are sent again.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Estimated size in bytes of a batch without its flows and the names of its targets: the envelope,
/// the service name, the nonce and the lengths of the lists.
pub const BATCH_OVERHEAD_BYTES: u64 = 128;
/// Encoded size in bytes of one batch entry: the flow hash (8) and the target index (1).
pub const ENCODED_FLOW_BYTES: u64 = 9;
/// Estimated size in bytes of an acknowledgement with its envelope.
pub const ACK_BYTES: u64 = 64;

#[derive(Debug)]
struct PlacementOverride {
    service: ServiceId,
    precedence: Precedence,
    target: Arc<TargetHandle>,
    /// Instance that sent this copy of the override; `None` when the flow is held here.
    source: Option<Run>,
    /// Run that last acknowledged the override or sent it to this instance.
    known_by: Option<Run>,
    /// Time at which the override was last sent; `None` when no acknowledgement is awaited.
    sent_at: Option<Instant>,
    recorded_at: Instant,
    has_ended: bool,
}

impl PlacementOverride {
    fn is_due(&self, now: Instant) -> bool {
        self.sent_at.is_none_or(|at| now >= at + RETRY_INTERVAL)
    }
}

/// Batch that was sent and is not acknowledged yet.
#[derive(Debug)]
struct InFlightBatch {
    to: Run,
    /// Hashes of the flows in the batch, and for each flow whether the batch reported its end.
    flows: Vec<(FlowHash, bool)>,
    sent_at: Instant,
}

/// Key by which flows are grouped into batches. Batches are sent in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BatchKey {
    has_ended: bool,
    precedence: Precedence,
    service: ServiceId,
    to: Run,
}

/// Batch with the name of its receiver.
pub type AddressedBatch = (InstanceId, OverrideBatch);

/// Placement overrides that an instance knows, by the hash of the flow.
#[derive(Debug)]
pub struct OverrideTable {
    me: InstanceId,
    capacity: usize,
    entries: BTreeMap<FlowHash, PlacementOverride>,
    /// Unacknowledged batches by nonce.
    in_flight: BTreeMap<u64, InFlightBatch>,
    next_nonce: u64,
}

impl OverrideTable {
    /// Creates an empty table that holds at most `capacity` placement overrides.
    pub fn new(me: InstanceId, capacity: usize) -> Self {
        Self { me, capacity, entries: BTreeMap::new(), in_flight: BTreeMap::new(), next_nonce: 0 }
    }

    /// Returns the number of placement overrides, ended ones included whose end is not acknowledged.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no placement override.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the placement override of a flow that is held here; returns `false` when the table is
    /// full.
    pub fn record_own(
        &mut self,
        hash: FlowHash,
        precedence: Precedence,
        target: &Arc<TargetHandle>,
        now: Instant,
    ) -> bool {
        let old = self.entries.get(&hash);
        if old.is_none() && self.entries.len() >= self.capacity {
            return false;
        }
        let old = old.filter(|old| old.target.id() == target.id() && !old.has_ended);
        let (known_by, sent_at) =
            old.map(|old| (old.known_by.clone(), old.sent_at)).unwrap_or_default();
        let entry = PlacementOverride {
            service: target.service().clone(),
            precedence,
            target: Arc::clone(target),
            source: None,
            known_by,
            sent_at,
            recorded_at: now,
            has_ended: false,
        };
        self.entries.insert(hash, entry);
        true
    }

    /// Records that a flow ended or that its target no longer differs from the base table's.
    pub fn record_ended(&mut self, hash: FlowHash) {
        let Some(entry) = self.entries.get_mut(&hash) else { return };
        if entry.known_by.is_none() && entry.sent_at.is_none() {
            self.entries.remove(&hash);
            return;
        }
        entry.has_ended = true;
        entry.sent_at = None;
    }

    /// Returns the target of a flow, or `None` when the flow has no placement override or belongs to
    /// another service.
    pub fn find(&self, hash: FlowHash, service: &str) -> Option<Arc<TargetHandle>> {
        let entry = self.entries.get(&hash)?;
        let is_valid = !entry.has_ended && entry.service == service;
        is_valid.then(|| Arc::clone(&entry.target))
    }

    /// Returns the batches that are due and fit into `bytes`, and records them as sent. Flows of
    /// higher precedence come first and ended flows last. Batches that do not fit stay due for the
    /// next call.
    pub fn take_due(&mut self, now: Instant, plan: &Plan, bytes: u64) -> Vec<AddressedBatch> {
        self.expire(now, plan);
        let mut left = bytes;
        let mut batches = Vec::new();
        for (key, flows) in self.due(now, plan) {
            for flows in flows.chunks(MAX_BATCH_FLOWS) {
                if BATCH_OVERHEAD_BYTES + ENCODED_FLOW_BYTES * flows.len() as u64 > left {
                    return batches;
                }
                let batch = self.batch(&key, flows, now);
                left = left.saturating_sub(batch_bytes(&batch));
                batches.push((key.to.id.clone(), batch));
            }
        }
        batches
    }

    /// Applies a batch from another instance. Returns `false` when the batch names a target that
    /// `service` does not have at this instance yet.
    pub fn accept(
        &mut self,
        from: &Run,
        batch: &OverrideBatch,
        service: &ServicePlan,
        now: Instant,
    ) -> bool {
        let find = |id: &TargetId| service.local_targets.iter().find(|handle| handle.id() == id);
        let targets: Option<Vec<_>> = batch.targets.iter().map(find).collect();
        let Some(targets) = targets else { return false };
        for entry in &batch.entries {
            let Some(target) = targets.get(usize::from(entry.target)) else { return false };
            self.accept_one(from, u64::from_be_bytes(entry.hash), target, service, now);
        }
        for hash in &batch.ended {
            let hash = u64::from_be_bytes(*hash);
            if self.entries.get(&hash).is_some_and(|entry| entry.source.is_some()) {
                self.entries.remove(&hash);
            }
        }
        true
    }

    /// Records that `from` acknowledged a batch. Flows that have ended, or started again, since the
    /// batch was sent are skipped.
    pub fn acknowledge(&mut self, from: &Run, nonce: u64) {
        if self.in_flight.get(&nonce).is_none_or(|sent| sent.to != *from) {
            return;
        }
        let Some(sent) = self.in_flight.remove(&nonce) else { return };
        for (hash, has_ended) in sent.flows {
            let Some(entry) = self.entries.get_mut(&hash) else { continue };
            if entry.has_ended != has_ended {
                continue;
            }
            if has_ended {
                self.entries.remove(&hash);
            } else {
                entry.known_by = Some(sent.to.clone());
                entry.sent_at = None;
            }
        }
    }

    /// Returns whether every placement override has been acknowledged by the instance that takes the
    /// flow over. The ends of flows do not count.
    pub fn is_synced(&self, plan: &Plan) -> bool {
        let mut open = self.entries.iter().filter(|(_, entry)| !entry.has_ended);
        open.all(|(hash, entry)| self.receiver(*hash, entry, plan).is_none())
    }

    /// Records a copy of a placement override. It never replaces one of a flow that is held here,
    /// and it replaces another copy only if it has the same sender or comes from the bucket's owner.
    fn accept_one(
        &mut self,
        from: &Run,
        hash: FlowHash,
        target: &Arc<TargetHandle>,
        service: &ServicePlan,
        now: Instant,
    ) {
        let owner = service.owners().and_then(|owners| owners.owner(bucket_of(hash)));
        if let Some(old) = self.entries.get(&hash) {
            let is_same_source = old.source.as_ref() == Some(from);
            let is_newer = is_same_source || owner == Some(&from.id);
            if old.source.is_none() || !is_newer {
                return;
            }
        } else if self.entries.len() >= self.capacity {
            return;
        }
        let entry = PlacementOverride {
            service: service.service.clone(),
            precedence: service.precedence,
            target: Arc::clone(target),
            source: Some(from.clone()),
            known_by: Some(from.clone()),
            sent_at: None,
            recorded_at: now,
            has_ended: false,
        };
        self.entries.insert(hash, entry);
    }

    /// Removes batches that were not acknowledged in time, copies older than the idle timeout of a
    /// TCP flow, and ended flows whose receiver has stopped.
    fn expire(&mut self, now: Instant, plan: &Plan) {
        self.in_flight.retain(|_, sent| now < sent.sent_at + RETRY_INTERVAL);
        self.entries.retain(|_, entry| {
            if entry.has_ended {
                return entry.known_by.as_ref().is_some_and(|run| is_running(plan, run));
            }
            entry.source.is_none() || now < entry.recorded_at + TCP_IDLE_TIMEOUT
        });
    }

    fn due(&self, now: Instant, plan: &Plan) -> BTreeMap<BatchKey, Vec<FlowHash>> {
        let mut batches: BTreeMap<BatchKey, Vec<FlowHash>> = BTreeMap::new();
        for (hash, entry) in &self.entries {
            let Some(to) = self.receiver(*hash, entry, plan) else { continue };
            if entry.is_due(now) {
                let key = BatchKey {
                    has_ended: entry.has_ended,
                    precedence: entry.precedence,
                    service: entry.service.clone(),
                    to,
                };
                batches.entry(key).or_default().push(*hash);
            }
        }
        batches
    }

    /// Returns the run that a placement override or its end has to be sent to, or `None` when that run
    /// has acknowledged the override.
    fn receiver(&self, hash: FlowHash, entry: &PlacementOverride, plan: &Plan) -> Option<Run> {
        if entry.has_ended {
            return entry.known_by.clone();
        }
        let owners = plan.service(&entry.service)?.owners()?;
        let peer = owners.first_other(bucket_of(hash), &self.me)?;
        let member = plan.view.get(peer)?;
        let run = Run { id: member.id.clone(), epoch: member.epoch };
        (entry.known_by.as_ref() != Some(&run)).then_some(run)
    }

    fn batch(&mut self, key: &BatchKey, flows: &[FlowHash], now: Instant) -> OverrideBatch {
        let mut batch = self.empty_batch(&key.service);
        for hash in flows {
            let Some(entry) = self.entries.get_mut(hash) else { continue };
            entry.sent_at = Some(now);
            if entry.has_ended {
                batch.ended.push(hash.to_be_bytes());
                continue;
            }
            let target = index_of(&mut batch.targets, entry.target.id());
            batch.entries.push(WireOverride { hash: hash.to_be_bytes(), target });
        }
        let flows = flows.iter().map(|hash| (*hash, key.has_ended)).collect();
        let sent = InFlightBatch { to: key.to.clone(), flows, sent_at: now };
        self.in_flight.insert(batch.nonce, sent);
        batch
    }

    fn empty_batch(&mut self, service: &ServiceId) -> OverrideBatch {
        self.next_nonce += 1;
        OverrideBatch {
            nonce: self.next_nonce,
            service: service.clone(),
            targets: Vec::new(),
            entries: Vec::new(),
            ended: Vec::new(),
        }
    }
}

fn is_running(plan: &Plan, run: &Run) -> bool {
    plan.view.get(&run.id).is_some_and(|member| member.epoch == run.epoch)
}

fn index_of(targets: &mut Vec<TargetId>, id: &TargetId) -> u16 {
    let known = targets.iter().position(|known| known == id);
    let index = known.unwrap_or_else(|| {
        targets.push(id.clone());
        targets.len() - 1
    });
    u16::try_from(index).unwrap_or(u16::MAX)
}

/// Returns the size of a batch on the wire in bytes, as the byte budget counts it.
pub fn batch_bytes(batch: &OverrideBatch) -> u64 {
    let names: usize = batch.targets.iter().map(|id| id.len() + 1).sum();
    let flows = batch.entries.len() + batch.ended.len();
    BATCH_OVERHEAD_BYTES + names as u64 + ENCODED_FLOW_BYTES * flows as u64
}
