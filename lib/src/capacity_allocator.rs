//! The allocator of a service in a data centre: divides the capacity of its
//! targets among the owners.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::address_assignments::AddressAssignments;
use crate::config::Config;
use crate::grant::{Grant, GrantReply, GrantRequest, Term};
use crate::grant_ledger::{ClusterSize, GrantLedger, Quantity, Requester, TargetUsage, FRESH_FOR};
use crate::health::{Health, TRAFFIC_PRECEDENCE_TIME};
use crate::ids::{DataCentreId, InstanceId, ServiceId, TargetId};
use crate::owner::{allocator_of, OwnerSet};
use crate::record::{Service, Target, TargetState};
use crate::share::{divide_connections, divide_slots, SlotDemand};
use crate::slow_start::{capacity, Capacity, Judgement, SlowStart, SlowStartState};
use crate::view::View;

/// Time after which another owner comes first when slots do not divide evenly.
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(10);

/// What an instance knows when it decides as an allocator.
#[derive(Clone, Copy, Debug)]
pub struct ClusterState<'a> {
    /// View.
    pub view: &'a View,
    /// Configuration.
    pub config: &'a Config,
    /// Instances of the data centre that may be running; `None` when unknown.
    pub expected: Option<usize>,
    /// Whether the instance is in touch with the others.
    pub is_settled: bool,
}

#[derive(Debug)]
struct Allocation {
    since: Instant,
    ledger: GrantLedger,
    slow_starts: BTreeMap<TargetId, SlowStart>,
}

/// Decides on grants for the services whose capacity this instance allocates.
#[derive(Debug)]
pub struct CapacityAllocator {
    me: InstanceId,
    data_centre: DataCentreId,
    owners_per_service: usize,
    addresses: AddressAssignments,
    services: BTreeMap<ServiceId, Allocation>,
}

impl CapacityAllocator {
    /// Creates the allocator of one instance.
    pub fn new(me: InstanceId, data_centre: DataCentreId, owners_per_service: usize) -> Self {
        let addresses = AddressAssignments::default();
        Self { me, data_centre, owners_per_service, addresses, services: BTreeMap::new() }
    }

    /// Notes changes. What was known of a service is dropped as soon as another instance is its
    /// allocator, and all of it while the instance is out of touch.
    pub fn observe(&mut self, cluster: &ClusterState<'_>, now: Instant) {
        self.addresses.observe(cluster.config, now);
        let (me, data_centre) = (&self.me, &self.data_centre);
        self.services.retain(|service, _| {
            cluster.is_settled
                && allocator_of(cluster.view, service, data_centre).as_ref() == Some(me)
        });
    }

    /// Tells whether this instance allocates the capacity of a target.
    pub fn is_allocator_of(&self, target: &Target) -> bool {
        let allocation = self.services.get(&target.service);
        allocation.is_some_and(|allocation| allocation.slow_starts.contains_key(&target.name))
    }

    /// Takes what a health endpoint says. It counts only where no request was answered lately, and
    /// then only against the target.
    pub fn note_health(&mut self, target: &Target, health: Health, now: Instant) {
        let Some(allocation) = self.services.get_mut(&target.service) else { return };
        let Some(slow_start) = allocation.slow_starts.get(&target.name) else { return };
        let works = slow_start.answered_at().is_some_and(|at| now < at + TRAFFIC_PRECEDENCE_TIME);
        if health == Health::Unhealthy && !works {
            allocation.mark_cold(&target.name, now);
        }
    }

    /// Answers the question of an owner, or gives no answer when this instance is out of touch or
    /// not the allocator, the requester is no owner, or the question is out of date.
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
            allocator_of(view, service, &self.data_centre).as_ref() == Some(&self.me);
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
        let is_in = cluster.config.is_in_service(&self.data_centre);
        let allocation = self.services.entry(service.clone()).or_insert(Allocation {
            since: now,
            ledger: GrantLedger::default(),
            slow_starts: BTreeMap::new(),
        });
        if !allocation.ledger.report(requester, req, now) {
            return None;
        }
        allocation.update_slow_starts(record, &local, req, is_in, now);
        let (addresses, ledger) = (&self.addresses, &allocation.ledger);
        let is_open = |target: &Target| {
            let is_known_to_all = ledger.is_known_to_all(&target.name, cluster_size, now);
            is_in
                && target.state == TargetState::Active
                && addresses.has_no_former_grants(target, is_known_to_all, now)
        };
        let (open, closed): (Vec<&Target>, Vec<&Target>) =
            local.iter().map(|target| &***target).partition(|target| is_open(target));
        let mut grants = allocation.allocate(&requester.id, req, record, &open, cluster_size, now);
        allocation.ledger.note_answer(&requester.id, now);
        let term = if is_in { Term::OpenOnly } else { Term::Nothing };
        grants.extend(closed.into_iter().filter_map(|target| refusal(target, req, term)));
        Some(GrantReply { service: service.clone(), nonce: req.nonce, grants })
    }
}

fn refusal(target: &Target, req: &GrantRequest, term: Term) -> Option<Grant> {
    let index = req.index_of(&target.name)?;
    Some(Grant { index, connections: 0, slots: 0, warm_up_per_mille: 0, term })
}

impl Allocation {
    fn update_slow_starts(
        &mut self,
        service: &Service,
        targets: &[&std::sync::Arc<Target>],
        req: &GrantRequest,
        is_in: bool,
        now: Instant,
    ) {
        let known = |id: &TargetId| targets.iter().any(|target| target.name == *id);
        self.slow_starts.retain(|id, _| known(id));
        for target in targets {
            let is_used = is_in && target.state == TargetState::Active;
            let slow_start =
                self.slow_starts.entry(target.name.clone()).or_insert_with(|| SlowStart::new(now));
            if !is_used {
                *slow_start = SlowStart::new(now);
            }
            slow_start.advance(service.cold_start.ramp, now);
        }
        self.take_reports(req, now);
        self.judge(now);
    }

    fn take_reports(&mut self, req: &GrantRequest, now: Instant) {
        let is_adopting = now < self.since + FRESH_FOR;
        for holding in &req.holdings {
            let Some(slow_start) = self.slow_starts.get_mut(&holding.target) else { continue };
            slow_start.note(&holding.signals, now);
            if let Some(reported) = holding.warm_up_per_mille.filter(|_| is_adopting) {
                slow_start.adopt(reported, now);
            }
        }
    }

    fn judge(&mut self, now: Instant) {
        let judged =
            self.slow_starts.iter_mut().map(|(id, slow_start)| (id.clone(), slow_start.judge(now)));
        let bad: Vec<_> = judged.filter(|(_, it)| *it == Some(Judgement::Bad)).collect();
        for (id, _) in bad {
            self.mark_cold(&id, now);
        }
    }

    /// Marks a target cold, but at most half of a service's targets: beyond that, something else is
    /// wrong than the targets.
    fn mark_cold(&mut self, target: &str, now: Instant) {
        let is_cold =
            |slow_start: &SlowStart| matches!(slow_start.state(), SlowStartState::Cold { .. });
        let cold = self.slow_starts.values().filter(|slow_start| is_cold(slow_start)).count();
        let most = self.slow_starts.len().div_ceil(2);
        if let Some(slow_start) = self.slow_starts.get_mut(target) {
            if is_cold(slow_start) || cold < most {
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
        let level = |target: &Target| {
            self.slow_starts.get(&target.name).map_or(0, |slow_start| slow_start.level(ramp, now))
        };
        let levels: Vec<_> = targets.iter().map(|target| level(target)).collect();
        let limits: Vec<_> = targets
            .iter()
            .zip(&levels)
            .map(|(target, level)| {
                let capacity = capacity(target, &service.cold_start, *level);
                self.limit(target, capacity, cluster_size, now)
            })
            .collect();
        let shares = self.shares(owner, targets, &limits, now);
        let mut grants = Vec::new();
        for ((target, limit), (share, level)) in
            targets.iter().zip(&limits).zip(shares.iter().zip(levels))
        {
            let (slots, connections) = self.free(owner, &target.name, limit, now);
            let Some(index) = req.index_of(&target.name) else { continue };
            let grant = Grant {
                index,
                connections: share.connections.min(connections),
                slots: share.slots.min(slots),
                warm_up_per_mille: level,
                term: Term::NewAndOpen,
            };
            self.ledger.offer(owner, &target.name, grant.slots, grant.connections);
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

    fn free(&self, owner: &str, target: &str, limit: &Capacity, now: Instant) -> (u32, u32) {
        let committed = |quantity| self.ledger.committed_to_others(owner, target, quantity, now);
        let slots = limit.slots.saturating_sub(committed(Quantity::Slots));
        let connections = limit.connections.saturating_sub(committed(Quantity::Connections));
        (slots, connections)
    }

    /// Returns the share of each target that falls to an owner, whether it is free or not.
    fn shares(
        &self,
        owner: &InstanceId,
        targets: &[&Target],
        limits: &[Capacity],
        now: Instant,
    ) -> Vec<Capacity> {
        let rotations =
            now.saturating_duration_since(self.since).as_millis() / ROTATION_INTERVAL.as_millis();
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
