//! Passing of flows to the instances that take them over.
//!
//! The flows that differ from their default placement go to the next instance in rank ahead of
//! time, within a byte budget. When the base table changes, every flow is judged again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::base_table::BaseTables;
use crate::binding::{Bindings, SHARD_COUNT};
use crate::byte_budget::ByteBudget;
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, OverrideAck, OverrideBatch, Run};
use crate::ids::{FlowHash, Generation, InstanceId, ServiceId, TargetId};
use crate::message::Message;
use crate::override_table::{cost, OverrideTable, ACK_BYTES, BATCH_OVERHEAD};
use crate::plan::{Plan, ServicePlan};
use crate::table::Picker;
use crate::target::TargetHandle;

/// Rate at which placement overrides are sent.
pub const OVERRIDE_BYTES_PER_SECOND: u64 = 1_024;
/// Bytes of placement overrides that may be sent at once after a pause.
pub const OVERRIDE_BURST_BYTES: u64 = 8_192;
/// Rate at which a leaving instance sends its placement overrides, during the seconds until it
/// stops.
pub const LEAVING_BYTES_PER_SECOND: u64 = 65_536;
/// Time between two looks at what is due.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(200);

const SHARDS_PER_TICK: usize = 16;

#[derive(Debug)]
struct Walk {
    plan: Arc<Plan>,
    next_shard: usize,
    next_sync: Option<Instant>,
}

/// A message and the instance that it goes to.
pub type Addressed = (InstanceId, Message);

/// Passes flows to the instances that take them over.
pub struct Handover {
    base_tables: BaseTables,
    overrides: Mutex<OverrideTable>,
    budget: Mutex<ByteBudget>,
    walk: Mutex<Walk>,
    is_leaving: AtomicBool,
    has_new_base_table: AtomicBool,
}

impl Handover {
    /// Creates the state of an instance that holds at most `capacity` placement overrides.
    pub fn new(me: InstanceId, capacity: usize, picker: Arc<dyn Picker>) -> Self {
        let budget = ByteBudget::new(OVERRIDE_BYTES_PER_SECOND, OVERRIDE_BURST_BYTES);
        let walk = Walk { plan: Arc::default(), next_shard: SHARD_COUNT, next_sync: None };
        Self {
            base_tables: BaseTables::new(me.clone(), picker),
            overrides: Mutex::new(OverrideTable::new(me, capacity)),
            budget: Mutex::new(budget),
            walk: Mutex::new(walk),
            is_leaving: AtomicBool::new(false),
            has_new_base_table: AtomicBool::new(false),
        }
    }

    /// Sends what others do not know yet at the rate of a leaving instance.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.budget.lock().set_rate(LEAVING_BYTES_PER_SECOND);
        self.walk.lock().next_sync = None;
    }

    /// Tells whether all placement overrides are known to the instances that take the flows over.
    pub fn is_synced(&self, plan: &Plan) -> bool {
        self.walk.lock().next_shard >= SHARD_COUNT && self.overrides.lock().is_synced(plan)
    }

    /// Returns the digest of the base table of a service.
    pub fn base_generation(&self, service: &str) -> Option<Generation> {
        self.base_tables.get(service).map(|base| base.generation())
    }

    /// Returns the number of placement overrides.
    pub fn overrides(&self) -> usize {
        self.overrides.lock().len()
    }

    /// Tells whether a flow that is bound to `target` has to be passed on as a placement override.
    pub fn is_override(&self, service: &ServicePlan, hash: FlowHash, target: &TargetId) -> bool {
        self.base_tables.is_override(service, hash, target)
    }

    /// Notes that a flow is bound to a target that is not its default.
    pub fn note(
        &self,
        service: &ServicePlan,
        hash: FlowHash,
        target: &Arc<TargetHandle>,
        now: Instant,
    ) -> bool {
        self.overrides.lock().note_own(hash, service.precedence, target, now)
    }

    /// Notes flows that ended.
    pub fn note_ended(&self, flows: &[FlowHash]) {
        if flows.is_empty() {
            return;
        }
        let mut overrides = self.overrides.lock();
        for hash in flows {
            overrides.note_ended(*hash);
        }
    }

    /// Returns the target of a flow that another instance told of.
    pub fn find(&self, hash: FlowHash, service: &ServiceId) -> Option<Arc<TargetHandle>> {
        self.overrides.lock().find(hash, service)
    }

    /// Returns the target that the previous owner of an unknown flow's bucket would have judged
    /// it to be bound to.
    pub fn judge(
        &self,
        service: &ServicePlan,
        hash: FlowHash,
        me: &InstanceId,
    ) -> Option<Arc<TargetHandle>> {
        let previous = service.previous_owner(hash, me);
        let judged = self.base_tables.judge(service, hash, previous);
        let target = judged.and_then(|id| service.target(&id));
        target.or_else(|| service.default_target(hash)).cloned()
    }

    /// Does what is due and returns the messages to send.
    pub fn tick(&self, now: Instant, plan: &Arc<Plan>, bindings: &Bindings) -> Vec<Addressed> {
        let mut walk = self.walk.lock();
        let has_new_base_table = self.has_new_base_table.swap(false, Ordering::Relaxed);
        if self.base_tables.update(now, plan) || has_new_base_table {
            walk.next_shard = 0;
        }
        if !Arc::ptr_eq(&walk.plan, plan) {
            self.base_tables.forget_gone(&plan.view);
            walk.next_shard = if homes_differ(&walk.plan, plan) { 0 } else { walk.next_shard };
            walk.plan = Arc::clone(plan);
        }
        for _ in 0..SHARDS_PER_TICK {
            if walk.next_shard < SHARD_COUNT {
                self.judge_shard(now, plan, bindings, walk.next_shard);
                walk.next_shard += 1;
            }
        }
        if walk.next_sync.is_some_and(|at| now < at) {
            return Vec::new();
        }
        walk.next_sync = Some(now + SYNC_INTERVAL);
        self.sync(now, plan, walk.next_shard >= SHARD_COUNT)
    }

    /// Takes a batch, and returns its acknowledgement once everything in it is taken.
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

    /// Takes an acknowledgement.
    pub fn on_ack(&self, from: &Run, ack: &OverrideAck) {
        self.overrides.lock().acknowledge(from, ack.nonce);
    }

    /// Takes the base table of another instance, and returns the acknowledgement.
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

    /// Takes the acknowledgement of a base table.
    pub fn on_base_table_ack(&self, from: &Run, ack: &BaseTableAck) {
        self.base_tables.on_ack(from, ack);
    }

    fn judge_shard(&self, now: Instant, plan: &Plan, bindings: &Bindings, shard: usize) {
        let mut noted = Vec::new();
        let mut ended = Vec::new();
        bindings.each_of(shard, |hash, binding| {
            let target = Arc::clone(&binding.target.handle);
            let Some(service) = plan.service(target.service()) else { return };
            let is_override = self.base_tables.is_override(service, hash, target.id());
            if binding.has_moved() || is_override == binding.is_override() {
                return;
            }
            binding.set_override(is_override);
            if is_override {
                noted.push((hash, service.precedence, target));
            } else {
                ended.push(hash);
            }
        });
        let mut overrides = self.overrides.lock();
        for (hash, precedence, target) in &noted {
            overrides.note_own(*hash, *precedence, target, now);
        }
        for hash in ended {
            overrides.note_ended(hash);
        }
    }

    fn sync(&self, now: Instant, plan: &Plan, is_judged: bool) -> Vec<Addressed> {
        let mut budget = self.budget.lock();
        budget.refill(now);
        let batches = self.overrides.lock().take_due(now, plan, budget.available());
        budget.spend(batches.iter().map(|(_, batch)| cost(batch)).sum());
        let mut messages: Vec<Addressed> =
            batches.into_iter().map(|(to, batch)| (to, Message::Overrides(batch))).collect();
        if is_judged && !self.is_leaving.load(Ordering::Relaxed) && budget.available() > 0 {
            for (to, update) in self.base_tables.take_due(now, plan) {
                budget.spend(update_cost(&update));
                messages.push((to, Message::BaseTable(update)));
            }
        }
        messages
    }
}

fn update_cost(update: &BaseTableUpdate) -> u64 {
    let names: usize = update.targets.iter().map(|target| target.id.len() + 2).sum();
    BATCH_OVERHEAD + names as u64
}

/// Tells whether some flow may have another first choice of data centre than before.
fn homes_differ(old: &Plan, new: &Plan) -> bool {
    new.services().iter().any(|service| {
        let old = old.service(&service.service);
        old.is_none_or(|old| old.homes != service.homes)
    })
}
