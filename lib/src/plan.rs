//! Immutable plan of the packet forwarder, derived from the view and the configuration.

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

/// Number of earlier sets of owners that a plan keeps for each service.
pub const KEPT_OWNER_SETS: usize = 4;

/// What the packet forwarder needs of one service.
#[derive(Debug)]
pub struct ServicePlan {
    /// Service.
    pub service: ServiceId,
    /// Precedence of its flows.
    pub precedence: Precedence,
    /// Data centres that serve it.
    pub homes: Homes,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Whether operators have this data centre in service.
    pub is_in_service: bool,
    /// Whether this instance owns flows of the service.
    pub is_owner: bool,
    /// Default table over the targets of this data centre; empty when this instance holds no flows.
    pub table: Arc<DefaultTable>,
    /// Table over the leaving targets as well.
    pub configured_base: Arc<BaseTable>,
    /// Owners in this data centre before the present ones, newest first.
    pub earlier_owners: Vec<OwnerSet>,
    /// Handles of the table's targets, in the table's order.
    pub targets: Vec<Arc<TargetHandle>>,
    /// Handles of all targets of this data centre, also of those that are leaving.
    pub local_targets: Vec<Arc<TargetHandle>>,
}

impl ServicePlan {
    /// Returns the owners of the service in this data centre.
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.homes.get(&self.data_centre).map(|home| &home.owners)
    }

    /// Returns the other owners of the service in this data centre.
    pub fn peers<'a>(&'a self, me: &'a str) -> impl Iterator<Item = &'a InstanceId> {
        let members = self.owners().into_iter().flat_map(OwnerSet::members);
        members.filter(move |id| *id != me)
    }

    /// Returns the handle of a target of this data centre.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetHandle>> {
        self.local_targets.iter().find(|handle| handle.id() == id)
    }

    /// Tells whether a handle is that of a present target of this data centre.
    pub fn has_handle(&self, handle: &TargetHandle) -> bool {
        self.local_targets.iter().any(|known| std::ptr::eq(known.as_ref(), handle))
    }

    /// Returns the default target of a flow by the present table.
    pub fn default_target(&self, hash: FlowHash) -> Option<&Arc<TargetHandle>> {
        self.targets.get(self.table.default_for(hash)?)
    }

    /// Tells whether this data centre is the first choice of a flow.
    pub fn is_home(&self, hash: FlowHash) -> bool {
        let top = self.homes.first(hash, |_| true);
        top.is_some_and(|home| home.data_centre == self.data_centre)
    }

    /// Returns the present runs of the other owners in this data centre.
    pub fn peer_runs(&self, me: &str, view: &View) -> Vec<Run> {
        let members = self.peers(me).filter_map(|id| view.get(id));
        members.map(|member| Run { id: member.id.clone(), epoch: member.epoch }).collect()
    }

    /// Returns who last owned a flow's bucket before `me`, as far as the plan remembers.
    pub fn previous_owner(&self, hash: FlowHash, me: &str) -> Option<&InstanceId> {
        let owner = |owners: &&OwnerSet| owners.owner(bucket_of(hash)).is_some_and(|id| id != me);
        self.earlier_owners.iter().find(owner)?.owner(bucket_of(hash))
    }
}

/// Immutable plan of one instance.
#[derive(Debug, Default)]
pub struct Plan {
    /// View that the plan was made from.
    pub view: Arc<View>,
    /// Configuration that the plan was made from.
    pub config: Arc<Config>,
    services: HashMap<ServiceId, Arc<ServicePlan>>,
    by_name: Vec<Arc<ServicePlan>>,
    by_address: HashMap<(Protocol, SocketAddr), Arc<ServicePlan>>,
    tunnels: HashMap<SocketAddr, ServiceId>,
}

impl Plan {
    /// Returns the service that callers reach at an address.
    pub fn service_at(&self, protocol: Protocol, address: SocketAddr) -> Option<&Arc<ServicePlan>> {
        self.by_address.get(&(protocol, address))
    }

    /// Returns the plan of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServicePlan>> {
        self.services.get(name)
    }

    /// Returns the services, ordered by name.
    pub fn services(&self) -> &[Arc<ServicePlan>] {
        &self.by_name
    }

    /// Returns the service whose target sends packets from an address.
    pub fn service_of_tunnel(&self, tunnel: SocketAddr) -> Option<&ServiceId> {
        self.tunnels.get(&tunnel)
    }
}

#[derive(Default)]
struct TargetCount {
    all: usize,
    active: usize,
}

/// Makes plans for one instance.
pub struct Planner {
    me: InstanceId,
    data_centre: DataCentreId,
    owners_per_service: usize,
    picker: Arc<dyn Picker>,
}

impl Planner {
    /// Creates a planner.
    pub fn new(
        me: InstanceId,
        data_centre: DataCentreId,
        owners_per_service: usize,
        picker: Arc<dyn Picker>,
    ) -> Self {
        Self { me, data_centre, owners_per_service, picker }
    }

    /// Makes the plan for a view and a configuration that follows `previous`.
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
            .filter(|_| is_owner || self.holds_flows(plan, previous))
            .filter(|target| target.data_centre == self.data_centre)
            .collect();
        let table = self.table(service, &local, previous);
        let configured_base = self.configured_base(service, &local, previous);
        let local: Vec<_> = local.into_iter().map(|target| registry.handle(target)).collect();
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

    /// Tells whether this instance may still hold flows although it is no owner.
    fn holds_flows(&self, plan: &Plan, previous: Option<&ServicePlan>) -> bool {
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
            let most = self.owners_per_service;
            let is_same = |last: &&OwnerSet| {
                let change = membership_changes.get(data_centre);
                change.is_none_or(|change| last.is_unaffected_by(change, service, most))
            };
            let last = previous.and_then(|last| last.homes.get(data_centre));
            let owners = match last.map(|last| &last.owners).filter(is_same) {
                Some(owners) => owners.clone(),
                None => OwnerSet::new(view, service, data_centre, most),
            };
            let is_in_service = plan.config.is_in_service(data_centre);
            Home::new(service, data_centre.clone(), is_in_service, owners, count.all, count.active)
        };
        Homes::new(counts.into_iter().map(home).collect())
    }
}

/// Returns how the members of each data centre differ between two views.
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
    last.into_iter().chain(&previous.earlier_owners).take(KEPT_OWNER_SETS).cloned().collect()
}
