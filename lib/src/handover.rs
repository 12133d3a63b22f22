//! Handover of flows to the instances that take them over.
//!
//! An instance replicates its placement overrides ahead of time to the next owner in rank, within a
//! byte budget; that owner infers the targets of all other flows from the base table. When the base
//! table changes, a scan checks for every flow whether it needs a placement override now.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::base_table::BaseTables;
use crate::binding::{Bindings, SHARD_COUNT};
use crate::byte_budget::ByteBudget;
use crate::default_table::Picker;
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, OverrideAck, OverrideBatch, Run};
use crate::ids::{FlowHash, Generation, InstanceId, ServiceId, TargetId};
use crate::message::Message;
use crate::override_table::{batch_bytes, OverrideTable, ACK_BYTES, BATCH_OVERHEAD_BYTES};
use crate::plan::{Plan, ServicePlan};
use crate::target::TargetHandle;

/// Rate limit of placement overrides.
pub const OVERRIDE_BYTES_PER_SECOND: u64 = 1_024;
/// Burst of placement overrides that the rate limit allows after a pause.
pub const OVERRIDE_BURST_BYTES: u64 = 8_192;
/// Rate limit of placement overrides at a leaving instance, which has only seconds to send all of
/// them before it stops.
pub const LEAVING_BYTES_PER_SECOND: u64 = 65_536;
/// Interval between checks for placement overrides and base tables that are due to be sent.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// Number of shards that one tick scans, which bounds the work of a tick.
const SHARDS_PER_TICK: usize = 16;

/// Progress of the scan that updates the placement overrides of all flows after a base table or a
/// home data centre has changed.
#[derive(Debug)]
struct Scan {
    plan: Arc<Plan>,
    /// Shard to scan next; the scan is complete at [`SHARD_COUNT`].
    next_shard: usize,
    next_sync: Option<Instant>,
}

/// Message with the name of its receiver.
pub type AddressedMessage = (InstanceId, Message);

/// State of the handover at one instance: its base tables and its placement overrides.
pub struct Handover {
    base_tables: BaseTables,
    overrides: Mutex<OverrideTable>,
    budget: Mutex<ByteBudget>,
    scan: Mutex<Scan>,
    is_leaving: AtomicBool,
    has_new_base_table: AtomicBool,
}

impl Handover {
    /// Creates the state of an instance that holds at most `capacity` placement overrides.
    pub fn new(me: InstanceId, capacity: usize, picker: Arc<dyn Picker>) -> Self {
        let budget = ByteBudget::new(OVERRIDE_BYTES_PER_SECOND, OVERRIDE_BURST_BYTES);
        let scan = Scan { plan: Arc::default(), next_shard: SHARD_COUNT, next_sync: None };
        Self {
            base_tables: BaseTables::new(me.clone(), picker),
            overrides: Mutex::new(OverrideTable::new(me, capacity)),
            budget: Mutex::new(budget),
            scan: Mutex::new(scan),
            is_leaving: AtomicBool::new(false),
            has_new_base_table: AtomicBool::new(false),
        }
    }

    /// Prepares for the instance's planned stop: from the next tick on, placement overrides are sent
    /// at the rate of a leaving instance, and base tables are no longer sent.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.budget.lock().set_rate(LEAVING_BYTES_PER_SECOND);
        self.scan.lock().next_sync = None;
    }

    /// Returns whether the scan of the flows is complete and every placement override has been
    /// acknowledged by the instance that takes the flow over.
    pub fn is_synced(&self, plan: &Plan) -> bool {
        self.scan.lock().next_shard >= SHARD_COUNT && self.overrides.lock().is_synced(plan)
    }

    /// Returns the generation of the base table of a service, which is a digest of the table's
    /// inputs, or `None` when this instance has no base table of the service.
    pub fn base_generation(&self, service: &str) -> Option<Generation> {
        self.base_tables.get(service).map(|base| base.generation())
    }

    /// Returns the number of placement overrides, copies from other instances included.
    pub fn overrides(&self) -> usize {
        self.overrides.lock().len()
    }

    /// Returns whether a flow bound to `target` needs a placement override, as an instance that took
    /// the flow over might infer another target for it.
    pub fn is_override(&self, service: &ServicePlan, hash: FlowHash, target: &TargetId) -> bool {
        self.base_tables.is_override(service, hash, target)
    }

    /// Records the placement override of a flow that is held here; returns `false` when the override
    /// table is full.
    pub fn record_override(
        &self,
        service: &ServicePlan,
        hash: FlowHash,
        target: &Arc<TargetHandle>,
        now: Instant,
    ) -> bool {
        self.overrides.lock().record_own(hash, service.precedence, target, now)
    }

    /// Records that flows ended, so that their placement overrides are withdrawn.
    pub fn record_ended(&self, flows: &[FlowHash]) {
        if flows.is_empty() {
            return;
        }
        let mut overrides = self.overrides.lock();
        for hash in flows {
            overrides.record_ended(*hash);
        }
    }

    /// Returns the target of a flow by its placement override, or `None` when it has none.
    pub fn find(&self, hash: FlowHash, service: &ServiceId) -> Option<Arc<TargetHandle>> {
        self.overrides.lock().find(hash, service)
    }

    /// Infers the target of a flow whose binding is unknown.
    ///
    /// Looks the flow up in the base table received from the previous owner of the flow's bucket
    /// or, if none was received, in this instance's own base table. Falls back to the default
    /// target if no target is found or the service no longer has the one found. Returns `None` if
    /// there is no default target either.
    pub fn infer_target(
        &self,
        service: &ServicePlan,
        hash: FlowHash,
        me: &InstanceId,
    ) -> Option<Arc<TargetHandle>> {
        let previous = service.previous_owner(hash, me);
        let inferred = self.base_tables.infer_target(service, hash, previous);
        let target = inferred.and_then(|id| service.target(&id));
        target.or_else(|| service.default_target(hash)).cloned()
    }

    /// Updates the base tables, continues the scan of the flows, and returns the messages that are
    /// due to be sent.
    pub fn tick(
        &self,
        now: Instant,
        plan: &Arc<Plan>,
        bindings: &Bindings,
    ) -> Vec<AddressedMessage> {
        let mut scan = self.scan.lock();
        let has_new_base_table = self.has_new_base_table.swap(false, Ordering::Relaxed);
        if self.base_tables.update(now, plan) || has_new_base_table {
            scan.next_shard = 0;
        }
        if !Arc::ptr_eq(&scan.plan, plan) {
            self.base_tables.forget_stopped_runs(&plan.view);
            scan.next_shard = if homes_differ(&scan.plan, plan) { 0 } else { scan.next_shard };
            scan.plan = Arc::clone(plan);
        }
        for _ in 0..SHARDS_PER_TICK {
            if scan.next_shard < SHARD_COUNT {
                self.update_overrides_in_shard(now, plan, bindings, scan.next_shard);
                scan.next_shard += 1;
            }
        }
        if scan.next_sync.is_some_and(|at| now < at) {
            return Vec::new();
        }
        scan.next_sync = Some(now + SYNC_INTERVAL);
        self.sync(now, plan, scan.next_shard >= SHARD_COUNT)
    }

    /// Accepts a batch of placement overrides and returns its acknowledgement, or `None` when this
    /// instance does not know the service or a target yet. The sender then retransmits the batch.
    pub fn on_batch(
        &self,
        now: Instant,
        plan: &Plan,
        from: &Run,
        batch: &OverrideBatch,
    ) -> Option<OverrideAck> {
        let service = plan.service(&batch.service)?;
        let is_taken = self.overrides.lock().accept(from, batch, service, now);
        self.budget.lock().spend(ACK_BYTES);
        is_taken.then_some(OverrideAck { nonce: batch.nonce })
    }

    /// Records the acknowledgement of a batch of placement overrides.
    pub fn on_ack(&self, from: &Run, ack: &OverrideAck) {
        self.overrides.lock().acknowledge(from, ack.nonce);
    }

    /// Stores the base table of another instance and returns the acknowledgement. This instance may
    /// adopt that table as its own, after which the next tick restarts the scan of the flows.
    pub fn on_update(
        &self,
        now: Instant,
        from: &InstanceId,
        update: &BaseTableUpdate,
    ) -> BaseTableAck {
        let (ack, has_new_base_table) = self.base_tables.on_update(now, from, update);
        self.has_new_base_table.fetch_or(has_new_base_table, Ordering::Relaxed);
        self.budget.lock().spend(ACK_BYTES);
        ack
    }

    /// Records the acknowledgement of a base table.
    pub fn on_base_table_ack(&self, from: &Run, ack: &BaseTableAck) {
        self.base_tables.on_ack(from, ack);
    }

    /// Compares the flows of one shard with the base tables. Records a placement override for each
    /// flow that needs one now, and the end of each override that is no longer needed.
    fn update_overrides_in_shard(
        &self,
        now: Instant,
        plan: &Plan,
        bindings: &Bindings,
        shard: usize,
    ) {
        let mut started = Vec::new();
        let mut ended = Vec::new();
        bindings.for_each_in_shard(shard, |hash, binding| {
            let target = Arc::clone(&binding.target.handle);
            let Some(service) = plan.service(target.service()) else { return };
            let is_override = self.base_tables.is_override(service, hash, target.id());
            if binding.has_moved() || is_override == binding.is_override() {
                return;
            }
            binding.set_override(is_override);
            if is_override {
                started.push((hash, service.precedence, target));
            } else {
                ended.push(hash);
            }
        });
        let mut overrides = self.overrides.lock();
        for (hash, precedence, target) in &started {
            overrides.record_own(*hash, *precedence, target, now);
        }
        for hash in ended {
            overrides.record_ended(hash);
        }
    }

    fn sync(&self, now: Instant, plan: &Plan, is_scan_complete: bool) -> Vec<AddressedMessage> {
        let mut budget = self.budget.lock();
        budget.refill(now);
        let batches = self.overrides.lock().take_due(now, plan, budget.available());
        budget.spend(batches.iter().map(|(_, batch)| batch_bytes(batch)).sum());
        let mut messages: Vec<AddressedMessage> =
            batches.into_iter().map(|(to, batch)| (to, Message::Overrides(batch))).collect();
        // A base table is sent only after the scan has compared every flow with it, and only if the
        // placement overrides leave some of the budget.
        if is_scan_complete && !self.is_leaving.load(Ordering::Relaxed) && budget.available() > 0 {
            for (to, update) in self.base_tables.take_due(now, plan) {
                budget.spend(update_bytes(&update));
                messages.push((to, Message::BaseTable(update)));
            }
        }
        messages
    }
}

fn update_bytes(update: &BaseTableUpdate) -> u64 {
    let names: usize = update.targets.iter().map(|target| target.id.len() + 2).sum();
    BATCH_OVERHEAD_BYTES + names as u64
}

/// Returns whether the home data centre of some flow may differ between the two plans.
fn homes_differ(old: &Plan, new: &Plan) -> bool {
    new.services().iter().any(|service| {
        let old = old.service(&service.service);
        old.is_none_or(|old| old.homes != service.homes)
    })
}
