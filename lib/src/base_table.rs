//! Base tables, from which an owner infers the target of a flow whose binding is unknown.
//!
//! New flows are placed by the default table over the active targets. A flow that sends no packet
//! while its owners are replaced is unknown to the new owners, so they have to infer its target from
//! the table that was in use when it was opened. Owners therefore keep a base table for each
//! service, send it to each other, and record a placement override for every flow whose target
//! differs from it. The base table covers leaving targets too, so that draining a target does not
//! change it. It follows other changes of the configuration only after a hold time, by which the
//! flows that were opened before the change have sent packets again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use tokio::time::Instant;

use crate::default_table::{DefaultTable, Picker, WeightedTarget};
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, Run};
use crate::ids::{FlowHash, Generation, InstanceId, ServiceId, TargetId};
use crate::plan::{Plan, ServicePlan};
use crate::view::View;

/// Time for which a base table stays unchanged after the configuration has changed.
pub const BASE_TABLE_HOLD_TIME: Duration = Duration::from_secs(600);
/// Period after the creation of a base table in which an instance replaces it by the base table of
/// another instance that has been in use for longer.
pub const ADOPTION_WINDOW: Duration = Duration::from_secs(10);
/// Time after which an unacknowledged base table is sent again.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A default table with the targets that it was built from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BaseTable {
    /// Targets with a weight above 0, ordered by name; leaving ones are included.
    pub inputs: Vec<WeightedTarget>,
    /// Table over `inputs`.
    pub table: DefaultTable,
}

impl BaseTable {
    /// Builds the base table of a service. The `picker` has to be the same at all instances.
    pub fn new(service: &str, inputs: Vec<WeightedTarget>, picker: &dyn Picker) -> Self {
        let table = picker.build(service, &inputs);
        Self { inputs, table }
    }

    /// Returns the target of a flow, or `None` when the table is empty.
    pub fn default_for(&self, hash: FlowHash) -> Option<&TargetId> {
        self.table.targets().get(self.table.default_for(hash)?)
    }

    /// Returns the generation of the table: a digest of the inputs that it was built from, not a
    /// counter.
    pub fn generation(&self) -> Generation {
        self.table.generation()
    }
}

/// Base table of a service at one instance, with its history.
#[derive(Clone, Debug)]
pub struct ServiceBaseTable {
    current: Arc<BaseTable>,
    /// Base table before the current one, as long as other owners may infer targets from it.
    previous: Option<Arc<BaseTable>>,
    created: Instant,
    /// Time since which the current base table has been in use, at this instance or at the instance
    /// that it was adopted from.
    used_since: Instant,
    /// Time since which the base table that follows from the configuration differs from the current
    /// one; `None` when they are equal.
    differs_since: Option<Instant>,
}

impl ServiceBaseTable {
    /// Returns the generation of the current base table, a digest of its inputs.
    pub fn generation(&self) -> Generation {
        self.current.generation()
    }

    /// Returns whether another instance might infer a target other than `target` for a flow.
    pub fn differs(&self, hash: FlowHash, target: &TargetId) -> bool {
        let differs = |base: &Arc<BaseTable>| base.default_for(hash) != Some(target);
        differs(&self.current) || self.previous.as_ref().is_some_and(differs)
    }
}

type Receiver = (Run, ServiceId);

#[derive(Debug, Default)]
struct State {
    base_tables: BTreeMap<ServiceId, ServiceBaseTable>,
    /// Latest base tables received, by sender.
    received: BTreeMap<(InstanceId, ServiceId), Arc<BaseTable>>,
    acknowledged: BTreeMap<Receiver, Generation>,
    /// Generation of the last update sent to each receiver, and the time at which it was sent.
    sent: BTreeMap<Receiver, (Generation, Instant)>,
}

/// Base tables of an instance, and those that it received from other instances.
pub struct BaseTables {
    me: InstanceId,
    picker: Arc<dyn Picker>,
    state: RwLock<State>,
}

impl BaseTables {
    /// Creates an empty set of base tables for the instance `me`.
    pub fn new(me: InstanceId, picker: Arc<dyn Picker>) -> Self {
        Self { me, picker, state: RwLock::default() }
    }

    /// Returns whether a flow bound to `target` needs a placement override: the flow's home data
    /// centre is another one, this instance has no base table of the service yet, or another
    /// instance might infer another target for the flow.
    pub fn is_override(&self, service: &ServicePlan, hash: FlowHash, target: &TargetId) -> bool {
        let state = self.state.read();
        let base = state.base_tables.get(&service.service);
        !service.is_home(hash) || base.is_none_or(|base| base.differs(hash, target))
    }

    /// Returns the base table of a service, or `None` when this instance has not created one.
    pub fn get(&self, service: &str) -> Option<ServiceBaseTable> {
        self.state.read().base_tables.get(service).cloned()
    }

    /// Infers the target of a flow whose bucket was last owned by `previous`: from the base table
    /// of `previous` if this instance has received it, else from this instance's own base table.
    pub fn infer_target(
        &self,
        service: &ServicePlan,
        hash: FlowHash,
        previous: Option<&InstanceId>,
    ) -> Option<TargetId> {
        let state = self.state.read();
        let received = previous
            .and_then(|previous| state.received.get(&(previous.clone(), service.service.clone())));
        let own = state.base_tables.get(&service.service).map(|base| &base.current);
        received.or(own)?.default_for(hash).cloned()
    }

    /// Creates missing base tables, replaces those whose hold time is over, and drops previous base
    /// tables once all other owners have acknowledged the current one. Returns whether a base table
    /// was created or replaced.
    pub fn update(&self, now: Instant, plan: &Plan) -> bool {
        let mut state = self.state.write();
        let mut has_changed = false;
        for service in plan.services() {
            if !service.local_targets.is_empty() {
                has_changed |= update_one(&mut state.base_tables, service, now);
            }
        }
        let State { base_tables, acknowledged, .. } = &mut *state;
        for service in plan.services() {
            if let Some(base) = base_tables.get_mut(&service.service) {
                if is_acknowledged(acknowledged, base, service, &plan.view, &self.me) {
                    base.previous = None;
                }
            }
        }
        has_changed
    }

    /// Returns the updates that are due, with their receivers, and records them as sent. The base
    /// tables that another owner has not acknowledged are due for that owner.
    pub fn take_due(&self, now: Instant, plan: &Plan) -> Vec<(InstanceId, BaseTableUpdate)> {
        let mut state = self.state.write();
        let mut due = Vec::new();
        for service in plan.services().iter().filter(|service| service.is_owner) {
            let Some(base) = state.base_tables.get(&service.service).cloned() else { continue };
            for to in service.peer_runs(&self.me, &plan.view) {
                let generation = base.current.generation();
                let key = (to, service.service.clone());
                let is_in_flight = state
                    .sent
                    .get(&key)
                    .is_some_and(|(sent, at)| *sent == generation && now < *at + RETRY_INTERVAL);
                if is_in_flight || state.acknowledged.get(&key) == Some(&generation) {
                    continue;
                }
                state.sent.insert(key.clone(), (generation, now));
                let targets = base.current.inputs.clone();
                let used_for = now.saturating_duration_since(base.used_since);
                let update = BaseTableUpdate { service: key.1, used_for, targets };
                due.push((key.0.id, update));
            }
        }
        due
    }

    /// Records that an update was not sent after all, so that it is due again.
    pub fn mark_unsent(&self, to: &Run, service: &ServiceId) {
        self.state.write().sent.remove(&(to.clone(), service.clone()));
    }

    /// Stores the base table of another instance. Returns the acknowledgement, and whether this
    /// instance adopted the table as its own.
    ///
    /// The instance adopts the table if its own base table of the service was created less than
    /// [`ADOPTION_WINDOW`] ago, the received one has been in use for longer, and the two differ.
    /// Its own table then becomes the previous one.
    pub fn on_update(
        &self,
        now: Instant,
        from: &InstanceId,
        update: &BaseTableUpdate,
    ) -> (BaseTableAck, bool) {
        let service = &update.service;
        let base = BaseTable::new(service, update.targets.clone(), self.picker.as_ref());
        let base = Arc::new(base);
        let ack = BaseTableAck { service: service.clone(), generation: base.generation() };
        let mut state = self.state.write();
        state.received.insert((from.clone(), service.clone()), Arc::clone(&base));
        let Some(own) = state.base_tables.get_mut(service) else { return (ack, false) };
        let may_adopt = now < own.created + ADOPTION_WINDOW;
        let used_since = now.checked_sub(update.used_for).unwrap_or(own.used_since);
        if !may_adopt || used_since >= own.used_since || own.current == base {
            return (ack, false);
        }
        own.previous = Some(std::mem::replace(&mut own.current, base));
        own.used_since = used_since;
        (ack, true)
    }

    /// Records the acknowledgement of an update.
    pub fn on_ack(&self, from: &Run, ack: &BaseTableAck) {
        let key = (from.clone(), ack.service.clone());
        self.state.write().acknowledged.insert(key, ack.generation);
    }

    /// Removes the records of updates that were sent to runs of instances that have stopped, and of
    /// the acknowledgements from these runs.
    pub fn forget_stopped_runs(&self, view: &View) {
        let mut state = self.state.write();
        let is_running =
            |run: &Run| view.get(&run.id).is_some_and(|member| member.epoch == run.epoch);
        state.acknowledged.retain(|(run, _), _| is_running(run));
        state.sent.retain(|(run, _), _| is_running(run));
    }
}

/// Creates the base table of a service if there is none, or replaces it if its hold time is over.
/// Returns whether the base table was created or replaced.
fn update_one(
    base_tables: &mut BTreeMap<ServiceId, ServiceBaseTable>,
    service: &ServicePlan,
    now: Instant,
) -> bool {
    let Some(base) = base_tables.get_mut(&service.service) else {
        let current = Arc::clone(&service.configured_base);
        let base = ServiceBaseTable {
            current,
            previous: None,
            created: now,
            used_since: now,
            differs_since: None,
        };
        base_tables.insert(service.service.clone(), base);
        return true;
    };
    if base.current.generation() == service.configured_base.generation() {
        base.differs_since = None;
        return false;
    }
    let since = *base.differs_since.get_or_insert(now);
    if now < since + BASE_TABLE_HOLD_TIME {
        return false;
    }
    base.previous =
        Some(std::mem::replace(&mut base.current, Arc::clone(&service.configured_base)));
    base.used_since = now;
    base.differs_since = None;
    true
}

/// Returns whether every other owner of the service has acknowledged the current base table.
fn is_acknowledged(
    acknowledged: &BTreeMap<Receiver, Generation>,
    base: &ServiceBaseTable,
    service: &ServicePlan,
    view: &View,
    me: &str,
) -> bool {
    let generation = base.current.generation();
    let mut peers = service.peer_runs(me, view).into_iter();
    peers.all(|run| acknowledged.get(&(run, service.service.clone())) == Some(&generation))
}
