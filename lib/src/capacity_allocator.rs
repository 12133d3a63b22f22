//! Capacity allocator: divides the capacity of a service's targets in one data centre among the
//! instances that own the service's flows there.
//!
//! Each data centre has one allocator for a service, which [`allocator_of`] derives from the view.
//! Two instances whose views differ may both act as allocator for a while; the
//! [`GrantLedger`] of each bounds what they commit together.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::address_assignments::AddressAssignments;
use crate::config::Config;
use crate::grant::{Grant, GrantReply, GrantRequest, Term};
use crate::grant_ledger::{
    ClusterSize, GrantLedger, Quantity, Requester, TargetUsage, TRANSFER_PERIOD,
};
use crate::health::{Health, TRAFFIC_PRECEDENCE_TIME};
use crate::ids::{DataCentreId, InstanceId, ServiceId, TargetId};
use crate::owner::{allocator_of, OwnerSet};
use crate::record::{Service, Target, TargetState};
use crate::share::{divide_connections, divide_slots, SlotDemand};
use crate::slow_start::{capacity, Capacity, SignalQuality, SlowStart, SlowStartState};
use crate::view::View;

/// Time after which the next owner in turn comes first when slots or connections do not divide
/// evenly.
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(10);

/// State of the cluster as an instance sees it when it allocates capacity.
#[derive(Clone, Copy, Debug)]
pub struct ClusterState<'a> {
    /// Members of the cluster, from which the allocator and the owners of a service are derived.
    pub view: &'a View,
    /// Configuration in force at this instance.
    pub config: &'a Config,
    /// Number of instances of the data centre that may be running, including those that this
    /// instance receives nothing from; `None` when unknown.
    pub expected: Option<usize>,
    /// Whether the instance may allocate: it has recently exchanged messages with another member or
    /// knows of none, and it has not just resumed from a freeze.
    pub is_settled: bool,
}

#[derive(Debug)]
struct ServiceAllocation {
    allocator_since: Instant,
    ledger: GrantLedger,
    slow_starts: BTreeMap<TargetId, SlowStart>,
}

/// Grants target capacity to owners, for the services whose allocator is this instance.
#[derive(Debug)]
pub struct CapacityAllocator {
    instance_id: InstanceId,
    data_centre: DataCentreId,
    owners_per_service: usize,
    addresses: AddressAssignments,
    services: BTreeMap<ServiceId, ServiceAllocation>,
}

impl CapacityAllocator {
    /// Creates an allocator that runs on the instance `instance_id`.
    pub fn new(
        instance_id: InstanceId,
        data_centre: DataCentreId,
        owners_per_service: usize,
    ) -> Self {
        let addresses = AddressAssignments::default();
        Self { instance_id, data_centre, owners_per_service, addresses, services: BTreeMap::new() }
    }

    /// Applies a change of the view or the configuration.
    ///
    /// Drops the state of each service whose allocator is now another instance, and the state of
    /// every service while this instance is not settled.
    pub fn observe(&mut self, cluster: &ClusterState<'_>, now: Instant) {
        self.addresses.observe(cluster.config, now);
        let (instance_id, data_centre) = (&self.instance_id, &self.data_centre);
        self.services.retain(|service, _| {
            cluster.is_settled
                && allocator_of(cluster.view, service, data_centre).as_ref() == Some(instance_id)
        });
    }

    /// Returns whether this instance allocates the capacity of a target.
    pub fn is_allocator_of(&self, target: &Target) -> bool {
        let allocation = self.services.get(&target.service);
        allocation.is_some_and(|allocation| allocation.slow_starts.contains_key(&target.name))
    }

    /// Applies the result of a health probe.
    ///
    /// Marks an unhealthy target cold if it has answered no request within
    /// [`TRAFFIC_PRECEDENCE_TIME`]. A healthy result changes nothing.
    pub fn note_health(&mut self, target: &Target, health: Health, now: Instant) {
        let Some(allocation) = self.services.get_mut(&target.service) else { return };
        let Some(slow_start) = allocation.slow_starts.get(&target.name) else { return };
        let has_recent_answer =
            slow_start.answered_at().is_some_and(|at| now < at + TRAFFIC_PRECEDENCE_TIME);
        if health == Health::Unhealthy && !has_recent_answer {
            allocation.mark_cold(&target.name, now);
        }
    }

    /// Returns the reply to an owner's request.
    ///
    /// Returns `None` when this instance is not settled or is not the allocator, the number of
    /// instances that may be running is unknown, the service does not exist, the requester is not
    /// an owner, or the request is no newer than the latest one on record.
    pub fn answer(
        &mut self,
        requester: &Requester,
        req: &GrantRequest,
        cluster: &ClusterState<'_>,
        now: Instant,
    ) -> Option<GrantReply> {
        self.observe(cluster, now);
        let (view, service) = (cluster.view, &req.service);
        let owners = OwnerSet::new(view, service, &self.data_centre, self.owners_per_service);
        let is_allocator =
            allocator_of(view, service, &self.data_centre).as_ref() == Some(&self.instance_id);
        if !cluster.is_settled || !is_allocator || !owners.contains(&requester.id) {
            return None;
        }
        let cluster_size = ClusterSize {
            expected: cluster.expected?,
            live: view.eligible_in(&self.data_centre).count(),
            owners: owners.len(),
        };
        let record = cluster.config.service(service)?;
        let all = cluster.config.targets_of(service).iter();
        let local: Vec<_> = all.filter(|target| target.data_centre == self.data_centre).collect();
        let is_in_service = cluster.config.is_in_service(&self.data_centre);
        let allocation = self.services.entry(service.clone()).or_insert(ServiceAllocation {
            allocator_since: now,
            ledger: GrantLedger::default(),
            slow_starts: BTreeMap::new(),
        });
        if !allocation.ledger.record_request(requester, req, now) {
            return None;
        }
        allocation.update_slow_starts(record, &local, req, is_in_service, now);
        let (addresses, ledger) = (&self.addresses, &allocation.ledger);
        let is_grantable = |target: &Target| {
            let is_known_to_all = ledger.is_known_to_all(&target.name, cluster_size, now);
            is_in_service
                && target.state == TargetState::Active
                && addresses.has_no_former_grants(target, is_known_to_all, now)
        };
        let (grantable, refused): (Vec<&Target>, Vec<&Target>) =
            local.iter().map(|target| &***target).partition(|target| is_grantable(target));
        let mut grants =
            allocation.allocate(&requester.id, req, record, &grantable, cluster_size, now);
        allocation.ledger.record_reply(&requester.id, now);
        let term = if is_in_service { Term::OpenOnly } else { Term::Nothing };
        grants.extend(refused.into_iter().filter_map(|target| empty_grant(target, req, term)));
        Some(GrantReply { service: service.clone(), nonce: req.nonce, grants })
    }
}

fn empty_grant(target: &Target, req: &GrantRequest, term: Term) -> Option<Grant> {
    let index = req.index_of(&target.name)?;
    Some(Grant { index, connections: 0, slots: 0, warm_up_per_mille: 0, term })
}

impl ServiceAllocation {
    fn update_slow_starts(
        &mut self,
        service: &Service,
        targets: &[&std::sync::Arc<Target>],
        req: &GrantRequest,
        is_in_service: bool,
        now: Instant,
    ) {
        let is_configured = |id: &TargetId| targets.iter().any(|target| target.name == *id);
        self.slow_starts.retain(|id, _| is_configured(id));
        for target in targets {
            let accepts_new_work = is_in_service && target.state == TargetState::Active;
            let slow_start =
                self.slow_starts.entry(target.name.clone()).or_insert_with(|| SlowStart::new(now));
            if !accepts_new_work {
                *slow_start = SlowStart::new(now);
            }
            slow_start.advance(service.cold_start.ramp, now);
        }
        self.record_reports(req, now);
        self.evaluate_signals(now);
    }

    fn record_reports(&mut self, req: &GrantRequest, now: Instant) {
        let is_adopting = now < self.allocator_since + TRANSFER_PERIOD;
        for holding in &req.holdings {
            let Some(slow_start) = self.slow_starts.get_mut(&holding.target) else { continue };
            slow_start.record_signals(&holding.signals, now);
            if let Some(reported) = holding.warm_up_per_mille.filter(|_| is_adopting) {
                slow_start.adopt(reported, now);
            }
        }
    }

    fn evaluate_signals(&mut self, now: Instant) {
        let qualities = self
            .slow_starts
            .iter_mut()
            .map(|(id, slow_start)| (id.clone(), slow_start.evaluate_window(now)));
        let bad: Vec<_> =
            qualities.filter(|(_, quality)| *quality == Some(SignalQuality::Bad)).collect();
        for (id, _) in bad {
            self.mark_cold(&id, now);
        }
    }

    /// Marks a target cold unless half of the service's targets are cold already: when more than
    /// half of them look unhealthy, the cause is probably not the targets.
    fn mark_cold(&mut self, target: &str, now: Instant) {
        let is_cold =
            |slow_start: &SlowStart| matches!(slow_start.state(), SlowStartState::Cold { .. });
        let cold = self.slow_starts.values().filter(|slow_start| is_cold(slow_start)).count();
        let max_cold = self.slow_starts.len().div_ceil(2);
        if let Some(slow_start) = self.slow_starts.get_mut(target) {
            if is_cold(slow_start) || cold < max_cold {
                slow_start.mark_cold(now);
            }
        }
    }

    fn allocate(
        &mut self,
        owner: &InstanceId,
        req: &GrantRequest,
        service: &Service,
        targets: &[&Target],
        cluster_size: ClusterSize,
        now: Instant,
    ) -> Vec<Grant> {
        let ramp = service.cold_start.ramp;
        let warm_up = |target: &Target| {
            self.slow_starts
                .get(&target.name)
                .map_or(0, |slow_start| slow_start.warm_up_per_mille(ramp, now))
        };
        let warm_ups: Vec<_> = targets.iter().map(|target| warm_up(target)).collect();
        let limits: Vec<_> = targets
            .iter()
            .zip(&warm_ups)
            .map(|(target, warm_up)| {
                let capacity = capacity(target, &service.cold_start, *warm_up);
                self.limit(target, capacity, cluster_size, now)
            })
            .collect();
        let shares = self.shares(owner, targets, &limits, now);
        let mut grants = Vec::new();
        for ((target, limit), (share, warm_up)) in
            targets.iter().zip(&limits).zip(shares.iter().zip(warm_ups))
        {
            let (slots, connections) = self.uncommitted(owner, &target.name, limit, now);
            let Some(index) = req.index_of(&target.name) else { continue };
            let grant = Grant {
                index,
                connections: share.connections.min(connections),
                slots: share.slots.min(slots),
                warm_up_per_mille: warm_up,
                term: Term::NewAndOpen,
            };
            self.ledger.record_offer(owner, &target.name, grant.slots, grant.connections);
            grants.push(grant);
        }
        grants
    }

    fn limit(
        &self,
        target: &Target,
        capacity: Capacity,
        cluster_size: ClusterSize,
        now: Instant,
    ) -> Capacity {
        let limit = |quantity, capacity| {
            self.ledger.limit(&target.name, quantity, capacity, cluster_size, now)
        };
        Capacity {
            slots: limit(Quantity::Slots, capacity.slots),
            connections: limit(Quantity::Connections, capacity.connections),
        }
    }

    fn uncommitted(&self, owner: &str, target: &str, limit: &Capacity, now: Instant) -> (u32, u32) {
        let committed = |quantity| self.ledger.committed_to_others(owner, target, quantity, now);
        let slots = limit.slots.saturating_sub(committed(Quantity::Slots));
        let connections = limit.connections.saturating_sub(committed(Quantity::Connections));
        (slots, connections)
    }

    /// Returns an owner's share of each target's limit, including any part of it that is still
    /// committed to other owners.
    fn shares(
        &self,
        owner: &InstanceId,
        targets: &[&Target],
        limits: &[Capacity],
        now: Instant,
    ) -> Vec<Capacity> {
        let rotations = now.saturating_duration_since(self.allocator_since).as_millis()
            / ROTATION_INTERVAL.as_millis();
        let rotation = rotations as usize;
        let owners: Vec<_> = self.ledger.accounts(now).collect();
        let Some(index) = owners.iter().position(|(id, _)| *id == owner) else {
            return Vec::new();
        };
        let usages: Vec<Vec<TargetUsage>> = owners
            .iter()
            .map(|(_, account)| {
                targets.iter().map(|target| account.usage_of(&target.name)).collect()
            })
            .collect();
        let demands: Vec<_> = usages.iter().map(|usages| slot_demand(usages)).collect();
        let slots: Vec<_> = limits.iter().map(|limit| limit.slots).collect();
        let slot_shares = divide_slots(&slots, &demands, rotation);
        let connections = |target: usize| {
            let load = |usages: &Vec<TargetUsage>| {
                let usage = usages[target];
                usage.connections.used.saturating_add(usage.waiting)
            };
            let loads: Vec<_> = usages.iter().map(load).collect();
            divide_connections(limits[target].connections, &loads, rotation)[index]
        };
        let share = |target| Capacity {
            slots: slot_shares[index][target],
            connections: connections(target),
        };
        (0..targets.len()).map(share).collect()
    }
}

fn slot_demand(usages: &[TargetUsage]) -> SlotDemand {
    SlotDemand {
        running: usages.iter().map(|usage| usage.slots.used).collect(),
        held: usages.iter().map(|usage| usage.slots.held).collect(),
        waiting: usages.iter().map(|usage| usage.waiting).max().unwrap_or(0),
    }
}
