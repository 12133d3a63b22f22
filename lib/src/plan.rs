//! Forwarding plan: the immutable state in which the packet forwarder looks up each packet.
//!
//! Each change of the membership view or the configuration yields a new plan.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::base_table::BaseTable;
use crate::collections::HashMap;
use crate::config::Config;
use crate::default_table::{generation_of, DefaultTable, Picker, WeightedTarget};
use crate::flow::Protocol;
use crate::flow_messages::Run;
use crate::ids::{DataCentreId, FlowHash, InstanceId, ServiceId};
use crate::owner::{bucket_of, Home, Homes, MembershipChange, OwnerSet};
use crate::record::{Precedence, Service, Target, TargetState};
use crate::target::{TargetHandle, TargetRegistry};
use crate::view::{MemberState, View};

/// Number of earlier owner sets that a plan keeps for each service, to find the previous owner of a
/// bucket.
pub const MAX_EARLIER_OWNER_SETS: usize = 4;

/// Part of a plan that concerns one service.
#[derive(Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub service: ServiceId,
    /// Precedence of the service's flows.
    pub precedence: Precedence,
    /// Data centres that serve the service, also those that are out of service or unreachable.
    pub homes: Homes,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Whether operators have the data centre of this instance in service.
    pub is_in_service: bool,
    /// Whether this instance is one of the owners of the service's flows.
    pub is_owner: bool,
    /// Default table over the active targets of this data centre; empty when this instance holds no
    /// flows of the service.
    pub table: Arc<DefaultTable>,
    /// Base table that the present configuration gives, over active and leaving targets. The base
    /// table in use follows it after a delay.
    pub configured_base: Arc<BaseTable>,
    /// Former owner sets in this data centre, latest first; at most [`MAX_EARLIER_OWNER_SETS`].
    pub earlier_owners: Vec<OwnerSet>,
    /// Handles of the default table's targets, in the order that the table's indexes refer to.
    pub targets: Vec<Arc<TargetHandle>>,
    /// Handles of all targets of this data centre, leaving ones included; empty when this instance
    /// holds no flows of the service.
    pub local_targets: Vec<Arc<TargetHandle>>,
}

impl ServicePlan {
    /// Returns the owners of the service in this data centre, or `None` when the service has no
    /// targets there.
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.homes.get(&self.data_centre).map(|home| &home.owners)
    }

    /// Returns the owners of the service in this data centre other than `me`.
    pub fn peers<'a>(&'a self, me: &'a str) -> impl Iterator<Item = &'a InstanceId> {
        let members = self.owners().into_iter().flat_map(OwnerSet::members);
        members.filter(move |id| *id != me)
    }

    /// Returns the handle of a target of this data centre, leaving ones included.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetHandle>> {
        self.local_targets.iter().find(|handle| handle.id() == id)
    }

    /// Returns whether a handle belongs to a target that this data centre still has.
    pub fn has_handle(&self, handle: &TargetHandle) -> bool {
        self.local_targets.iter().any(|known| std::ptr::eq(known.as_ref(), handle))
    }

    /// Returns the default target of a flow, or `None` when the default table is empty.
    pub fn default_target(&self, hash: FlowHash) -> Option<&Arc<TargetHandle>> {
        self.targets.get(self.table.default_for(hash)?)
    }

    /// Returns whether this data centre is the home of a flow, whether available or not.
    pub fn is_home(&self, hash: FlowHash) -> bool {
        let top = self.homes.first(hash, |_| true);
        top.is_some_and(|home| home.data_centre == self.data_centre)
    }

    /// Returns the current runs of the owners in this data centre other than `me`.
    pub fn peer_runs(&self, me: &str, view: &View) -> Vec<Run> {
        let members = self.peers(me).filter_map(|id| view.get(id));
        members.map(|member| Run { id: member.id.clone(), epoch: member.epoch }).collect()
    }

    /// Returns the instance that owned a flow's bucket most recently, other than `me`, by the owner
    /// sets that the plan keeps.
    pub fn previous_owner(&self, hash: FlowHash, me: &str) -> Option<&InstanceId> {
        let owner = |owners: &&OwnerSet| owners.owner(bucket_of(hash)).is_some_and(|id| id != me);
        self.earlier_owners.iter().find(owner)?.owner(bucket_of(hash))
    }
}

/// Immutable forwarding plan of one instance.
#[derive(Debug, Default)]
pub struct Plan {
    /// Membership view that the plan is derived from.
    pub view: Arc<View>,
    /// Configuration that the plan is derived from.
    pub config: Arc<Config>,
    services: HashMap<ServiceId, Arc<ServicePlan>>,
    by_name: Vec<Arc<ServicePlan>>,
    by_address: HashMap<(Protocol, SocketAddr), Arc<ServicePlan>>,
    tunnels: HashMap<SocketAddr, ServiceId>,
}

impl Plan {
    /// Returns the service that listens for callers on an address.
    pub fn service_at(&self, protocol: Protocol, address: SocketAddr) -> Option<&Arc<ServicePlan>> {
        self.by_address.get(&(protocol, address))
    }

    /// Returns the plan of the service with that name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServicePlan>> {
        self.services.get(name)
    }

    /// Returns the plans of all services, ordered by name.
    pub fn services(&self) -> &[Arc<ServicePlan>] {
        &self.by_name
    }

    /// Returns the service of the target whose tunnel address is `tunnel`.
    pub fn service_of_tunnel(&self, tunnel: SocketAddr) -> Option<&ServiceId> {
        self.tunnels.get(&tunnel)
    }
}

#[derive(Default)]
struct TargetCount {
    all: usize,
    active: usize,
}

/// Derives the plans of one instance.
pub struct Planner {
    me: InstanceId,
    data_centre: DataCentreId,
    owners_per_service: usize,
    picker: Arc<dyn Picker>,
}

impl Planner {
    /// Creates a planner for the instance `me`, with at most `owners_per_service` owners of a service
    /// in each data centre.
    pub fn new(
        me: InstanceId,
        data_centre: DataCentreId,
        owners_per_service: usize,
        picker: Arc<dyn Picker>,
    ) -> Self {
        Self { me, data_centre, owners_per_service, picker }
    }

    /// Derives the plan for a view and a configuration. Tables and owner sets that have not changed
    /// are taken from `previous`, the plan before it.
    pub fn plan(
        &self,
        view: Arc<View>,
        config: Arc<Config>,
        registry: &TargetRegistry,
        previous: &Plan,
    ) -> Plan {
        let mut plan = Plan { view, config, ..Plan::default() };
        let config = Arc::clone(&plan.config);
        let membership_changes = membership_changes(&previous.view, &plan.view);
        for target in config.targets() {
            plan.tunnels.insert(target.tunnel, target.service.clone());
        }
        for service in config.services() {
            let targets: Vec<_> =
                config.targets_of(&service.name).iter().map(Arc::as_ref).collect();
            let previous = previous.service(&service.name).map(Arc::as_ref);
            let homes = self.homes(&plan, service, &targets, previous, &membership_changes);
            let service_plan =
                self.service_plan(&plan, service, &targets, registry, previous, homes);
            let service_plan = Arc::new(service_plan);
            for address in &service.addresses {
                let key = (address.protocol, address.address);
                plan.by_address.insert(key, Arc::clone(&service_plan));
            }
            plan.by_name.push(Arc::clone(&service_plan));
            plan.services.insert(service.name.clone(), service_plan);
        }
        plan
    }

    fn service_plan(
        &self,
        plan: &Plan,
        service: &Service,
        targets: &[&Target],
        registry: &TargetRegistry,
        previous: Option<&ServicePlan>,
        homes: Homes,
    ) -> ServicePlan {
        let owners = homes.get(&self.data_centre).map(|home| &home.owners);
        let is_owner = owners.is_some_and(|owners| owners.contains(&self.me));
        let local: Vec<_> = targets
            .iter()
            .copied()
            .filter(|_| is_owner || self.may_hold_flows(plan, previous))
            .filter(|target| target.data_centre == self.data_centre)
            .collect();
        let table = self.table(service, &local, previous);
        let configured_base = self.configured_base(service, &local, previous);
        let local: Vec<_> =
            local.into_iter().map(|target| registry.get_or_create_handle(target)).collect();
        let handle = |id: &_| local.iter().find(|handle| handle.id() == id).cloned();
        let targets = table.targets().iter().filter_map(handle).collect();
        ServicePlan {
            service: service.name.clone(),
            precedence: service.precedence,
            data_centre: self.data_centre.clone(),
            is_in_service: plan.config.is_in_service(&self.data_centre),
            is_owner,
            earlier_owners: earlier_owners(owners, previous),
            homes,
            table,
            configured_base,
            targets,
            local_targets: local,
        }
    }

    /// Returns whether this instance may hold flows of the service without being an owner: it is
    /// leaving, or had the service's targets in the previous plan.
    fn may_hold_flows(&self, plan: &Plan, previous: Option<&ServicePlan>) -> bool {
        let me = plan.view.get(&self.me);
        let is_leaving = me.is_some_and(|me| me.state == MemberState::Leaving);
        is_leaving || previous.is_some_and(|previous| !previous.local_targets.is_empty())
    }

    fn table(
        &self,
        service: &Service,
        targets: &[&Target],
        previous: Option<&ServicePlan>,
    ) -> Arc<DefaultTable> {
        let active = weighted(targets, |target| target.state == TargetState::Active);
        let generation = generation_of(&service.name, &active);
        match previous.filter(|previous| previous.table.generation() == generation) {
            Some(previous) => Arc::clone(&previous.table),
            None => Arc::new(self.picker.build(&service.name, &active)),
        }
    }

    fn configured_base(
        &self,
        service: &Service,
        targets: &[&Target],
        previous: Option<&ServicePlan>,
    ) -> Arc<BaseTable> {
        let all = weighted(targets, |_| true);
        match previous.filter(|previous| previous.configured_base.inputs == all) {
            Some(previous) => Arc::clone(&previous.configured_base),
            None => Arc::new(BaseTable::new(&service.name, all, self.picker.as_ref())),
        }
    }

    fn homes(
        &self,
        plan: &Plan,
        service: &Service,
        targets: &[&Target],
        previous: Option<&ServicePlan>,
        membership_changes: &BTreeMap<DataCentreId, MembershipChange>,
    ) -> Homes {
        let mut counts: BTreeMap<&DataCentreId, TargetCount> = BTreeMap::new();
        for target in targets {
            let count = counts.entry(&target.data_centre).or_default();
            count.all += 1;
            count.active += usize::from(target.state == TargetState::Active);
        }
        let home = |(data_centre, count): (&DataCentreId, TargetCount)| {
            let (view, service) = (&plan.view, &service.name);
            let max_owners = self.owners_per_service;
            let is_unchanged = |last: &&OwnerSet| {
                let change = membership_changes.get(data_centre);
                change.is_none_or(|change| last.is_unaffected_by(change, service, max_owners))
            };
            let last = previous.and_then(|last| last.homes.get(data_centre));
            let owners = match last.map(|last| &last.owners).filter(is_unchanged) {
                Some(owners) => owners.clone(),
                None => OwnerSet::new(view, service, data_centre, max_owners),
            };
            let is_in_service = plan.config.is_in_service(data_centre);
            Home::new(service, data_centre.clone(), is_in_service, owners, count.all, count.active)
        };
        Homes::new(counts.into_iter().map(home).collect())
    }
}

/// Returns the membership change of every data centre with a member in either view.
fn membership_changes(last: &View, next: &View) -> BTreeMap<DataCentreId, MembershipChange> {
    let members = next.members().iter().chain(last.members());
    let all: BTreeSet<_> = members.map(|member| &member.data_centre).collect();
    let change = |id: &DataCentreId| (id.clone(), MembershipChange::between(last, next, id));
    all.into_iter().map(change).collect()
}

fn weighted(targets: &[&Target], accept: impl Fn(&Target) -> bool) -> Vec<WeightedTarget> {
    let mut weighted: Vec<_> = targets
        .iter()
        .filter(|target| target.weight > 0 && accept(target))
        .map(|target| WeightedTarget { id: target.name.clone(), weight: target.weight })
        .collect();
    weighted.sort_by(|a, b| a.id.cmp(&b.id));
    weighted
}

fn earlier_owners(owners: Option<&OwnerSet>, previous: Option<&ServicePlan>) -> Vec<OwnerSet> {
    let Some(previous) = previous else { return Vec::new() };
    let last = previous.owners().filter(|last| Some(*last) != owners && !last.is_empty());
    last.into_iter().chain(&previous.earlier_owners).take(MAX_EARLIER_OWNER_SETS).cloned().collect()
}
