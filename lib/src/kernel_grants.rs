//! Exchange of grants: an instance requests them as an owner, and answers requests as an allocator.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use crate::capacity_allocator::ClusterState;
use crate::envelope::Origin;
use crate::grant::{AcceptedGrant, GrantReply, GrantRequest, Holding};
use crate::grant_ledger::Requester;
use crate::health::Health;
use crate::kernel::Kernel;
use crate::message::Message;
use crate::owner::allocator_of;
use crate::plan::{Plan, ServicePlan};
use crate::record::Target;
use crate::target::TargetHandle;

impl Kernel {
    /// Returns the targets whose capacity this instance allocates.
    pub fn targets_with_local_allocator(&self) -> Vec<Arc<Target>> {
        let config = self.config();
        let allocator = self.allocator.lock();
        config.targets().filter(|target| allocator.is_allocator_of(target)).cloned().collect()
    }

    /// Records the result of a health probe of a target.
    pub fn note_health(&self, target: &Target, health: Health, now: Instant) {
        self.allocator.lock().note_health(target, health, now);
    }

    pub(crate) fn update_allocator(&self, now: Instant) {
        let plan = self.plan();
        let cluster = self.cluster_state(&plan, now);
        self.allocator.lock().observe(&cluster, now);
    }

    pub(crate) fn request_grants(&self, now: Instant) {
        let plan = self.plan();
        for service in plan.services() {
            if service.is_owner && !service.local_targets.is_empty() {
                self.request_grant(&plan, service, now);
            }
        }
    }

    fn request_grant(&self, plan: &Plan, service: &ServicePlan, now: Instant) {
        let Some(allocator) = allocator_of(&plan.view, &service.service, self.data_centre()) else {
            return;
        };
        if !self.grants.lock().is_due(&service.service, &allocator, now) {
            return;
        }
        let holdings = service.local_targets.iter().map(|target| holding(target, now)).collect();
        let req = self.grants.lock().next_request(&service.service, &allocator, holdings, now);
        if allocator == self.setup.id {
            self.request_grant_from_self(&req, now);
        } else if let Some(member) = plan.view.get(&allocator) {
            self.send_message(member.peer, Message::GrantRequest(req));
        }
    }

    fn request_grant_from_self(&self, req: &GrantRequest, now: Instant) {
        let requester = Requester { id: self.setup.id.clone(), epoch: self.gossip.lock().epoch() };
        if let Some(reply) = self.answer_grant_request(&requester, req, now) {
            self.on_grant_reply(&self.setup.id, &reply);
        }
    }

    pub(crate) fn on_grant_request(
        &self,
        now: Instant,
        origin: &Origin,
        from: SocketAddr,
        req: &GrantRequest,
    ) {
        let requester = Requester { id: origin.sender.clone(), epoch: origin.epoch };
        if let Some(reply) = self.answer_grant_request(&requester, req, now) {
            self.send_message(from, Message::GrantReply(reply));
        }
    }

    fn answer_grant_request(
        &self,
        requester: &Requester,
        req: &GrantRequest,
        now: Instant,
    ) -> Option<GrantReply> {
        let plan = self.plan();
        let cluster = self.cluster_state(&plan, now);
        self.allocator.lock().answer(requester, req, &cluster, now)
    }

    fn cluster_state<'a>(&self, plan: &'a Plan, now: Instant) -> ClusterState<'a> {
        let gossip = self.gossip.lock();
        ClusterState {
            view: &plan.view,
            config: &plan.config,
            expected: gossip.expected_in(&self.setup.data_centre, now),
            is_settled: gossip.is_settled(now),
        }
    }

    pub(crate) fn on_grant_reply(&self, from: &str, reply: &GrantReply) {
        let accepted = self.grants.lock().accept(from, reply);
        for AcceptedGrant { target, allowance, warm_up_per_mille } in accepted {
            let handle = self.registry.get(&target);
            if let Some(handle) = handle.filter(|handle| *handle.service() == reply.service) {
                handle.allow(&allowance);
                handle.set_warm_up_per_mille(warm_up_per_mille);
            }
        }
        self.grant_received.notify_one();
    }
}

/// Returns the holding to report for a target. An expired grant counts as none; the outcomes of
/// requests since the last report are included and reset.
fn holding(target: &TargetHandle, now: Instant) -> Holding {
    let in_force = u32::from(target.accepts_new_work(now));
    Holding {
        target: target.id().clone(),
        connections: target.connections() * in_force,
        slots: target.slots() * in_force,
        open: target.open_flows(),
        running: target.running_requests(),
        waiting: target.waiting_requests(),
        warm_up_per_mille: target.warm_up_per_mille(),
        signals: target.take_signals(),
    }
}
