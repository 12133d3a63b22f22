//! The base table of each service: by it the target of a flow is judged that nobody remembers.
//!
//! New flows are placed by the table over the active targets. A flow that is silent while its
//! owners are replaced leaves no trace, so it has to be judged by the table of its time. Owners
//! therefore keep a base table, tell one another theirs, and call every flow a placement override
//! that differs from it. The base covers leaving targets too, so draining a target does not change
//! it. It follows other changes of the configuration only after a while, when flows that were
//! opened before the change have been heard of again.

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

/// Time after which a base table follows a change of the configuration.
pub const BASE_TABLE_HOLD: Duration = Duration::from_secs(600);
/// Time after its start in which an instance takes over a base table that is older than its own.
pub const ADOPT_TIME: Duration = Duration::from_secs(10);
/// Time after which an update is sent again that was not acknowledged.
pub const BASE_TABLE_RETRY: Duration = Duration::from_secs(1);

/// A table together with what it was built from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BaseTable {
    /// Targets, ordered by name.
    pub inputs: Vec<WeightedTarget>,
    /// Table.
    pub table: DefaultTable,
}

impl BaseTable {
    /// Builds the table over some targets.
    pub fn new(service: &str, inputs: Vec<WeightedTarget>, picker: &dyn Picker) -> Self {
        let table = picker.build(service, &inputs);
        Self { inputs, table }
    }

    /// Returns the target of a flow.
    pub fn default_for(&self, hash: FlowHash) -> Option<&TargetId> {
        self.table.targets().get(self.table.default_for(hash)?)
    }

    /// Returns the digest of what the table was built from.
    pub fn generation(&self) -> Generation {
        self.table.generation()
    }
}

/// The base of a service at one instance.
#[derive(Clone, Debug)]
pub struct ServiceBaseTable {
    current: Arc<BaseTable>,
    /// Base before it, as long as other instances may judge by it.
    previous: Option<Arc<BaseTable>>,
    created: Instant,
    /// Since when the base, or the one that it was taken over from, is in use.
    used_since: Instant,
    differs_since: Option<Instant>,
}

impl ServiceBaseTable {
    /// Returns the digest of what the table was built from.
    pub fn generation(&self) -> Generation {
        self.current.generation()
    }

    /// Tells whether `target` differs from what a flow would be judged to be bound to.
    pub fn differs(&self, hash: FlowHash, target: &TargetId) -> bool {
        let differs = |base: &Arc<BaseTable>| base.default_for(hash) != Some(target);
        differs(&self.current) || self.previous.as_ref().is_some_and(differs)
    }
}

type Receiver = (Run, ServiceId);

#[derive(Debug, Default)]
struct State {
    base_tables: BTreeMap<ServiceId, ServiceBaseTable>,
    received: BTreeMap<(InstanceId, ServiceId), Arc<BaseTable>>,
    acknowledged: BTreeMap<Receiver, Generation>,
    sent: BTreeMap<Receiver, (Generation, Instant)>,
}

/// The base tables of an instance, and those that it received from other instances.
pub struct BaseTables {
    me: InstanceId,
    picker: Arc<dyn Picker>,
    state: RwLock<State>,
}

impl BaseTables {
    /// Creates an empty set of base tables.
    pub fn new(me: InstanceId, picker: Arc<dyn Picker>) -> Self {
        Self { me, picker, state: RwLock::default() }
    }

    /// Tells whether a flow that is bound to `target` has to be passed on as a placement override.
    pub fn is_override(&self, service: &ServicePlan, hash: FlowHash, target: &TargetId) -> bool {
        let state = self.state.read();
        let base = state.base_tables.get(&service.service);
        !service.is_home(hash) || base.is_none_or(|base| base.differs(hash, target))
    }

    /// Returns the base of a service.
    pub fn get(&self, service: &str) -> Option<ServiceBaseTable> {
        self.state.read().base_tables.get(service).cloned()
    }

    /// Returns the target by which a flow is judged whose bucket was last owned by `previous`.
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

    /// Follows the configuration where it is time to; returns whether a base changed.
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

    /// Returns the updates that are due, with their receivers.
    pub fn take_due(&self, now: Instant, plan: &Plan) -> Vec<(InstanceId, BaseTableUpdate)> {
        let mut state = self.state.write();
        let mut due = Vec::new();
        for service in plan.services().iter().filter(|service| service.is_owner) {
            let Some(base) = state.base_tables.get(&service.service).cloned() else { continue };
            for to in service.peer_runs(&self.me, &plan.view) {
                let generation = base.current.generation();
                let key = (to, service.service.clone());
                let is_waiting = state
                    .sent
                    .get(&key)
                    .is_some_and(|(sent, at)| *sent == generation && now < *at + BASE_TABLE_RETRY);
                if is_waiting || state.acknowledged.get(&key) == Some(&generation) {
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

    /// Notes that an update was not sent after all.
    pub fn put_back(&self, to: &Run, service: &ServiceId) {
        self.state.write().sent.remove(&(to.clone(), service.clone()));
    }

    /// Takes the update of another instance; returns `true` with the acknowledgement when this
    /// instance's own base changed by it.
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
        let is_fresh = now < own.created + ADOPT_TIME;
        let used_since = now.checked_sub(update.used_for).unwrap_or(own.used_since);
        if !is_fresh || used_since >= own.used_since || own.current == base {
            return (ack, false);
        }
        own.previous = Some(std::mem::replace(&mut own.current, base));
        own.used_since = used_since;
        (ack, true)
    }

    /// Takes the acknowledgement of an update.
    pub fn on_ack(&self, from: &Run, ack: &BaseTableAck) {
        let key = (from.clone(), ack.service.clone());
        self.state.write().acknowledged.insert(key, ack.generation);
    }

    /// Forgets what was told to runs of instances that are gone.
    pub fn forget_gone(&self, view: &View) {
        let mut state = self.state.write();
        let is_running =
            |run: &Run| view.get(&run.id).is_some_and(|member| member.epoch == run.epoch);
        state.acknowledged.retain(|(run, _), _| is_running(run));
        state.sent.retain(|(run, _), _| is_running(run));
    }
}

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
    if now < since + BASE_TABLE_HOLD {
        return false;
    }
    base.previous =
        Some(std::mem::replace(&mut base.current, Arc::clone(&service.configured_base)));
    base.used_since = now;
    base.differs_since = None;
    true
}

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
