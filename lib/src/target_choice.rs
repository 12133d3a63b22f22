//! Choice of the target of a new flow, from the state of one instance.

use std::sync::Arc;

use tokio::time::Instant;

use crate::cold_start_limit::{ranks_first, ColdStartLimit};
use crate::flow_tracker::FlowTracker;
use crate::ids::{DataCentreId, InstanceId};
use crate::placement::{choose_target, Candidate, HealthRank};
use crate::route::Registration;
use crate::route_table::RouteTable;
use crate::target_table::TargetTable;
use crate::view::View;

/// Largest number of flows in each [`crate::cold_start_limit::WINDOW`] that a target on trial gets.
pub const TRIAL_FLOWS: u32 = 4;

/// State of an instance that the choice of a target depends on.
#[derive(Clone, Debug)]
pub struct TargetChoice<'a> {
    /// Name of the instance, by which it is ranked among the senders to a cold target.
    pub instance: &'a InstanceId,
    /// Data centre whose targets are preferred: the one of the instance, unless the flow spills over
    /// to another.
    pub data_centre: &'a DataCentreId,
    /// Limit on new flows to a cold target.
    pub cold_start_limit: ColdStartLimit,
    /// Known targets.
    pub targets: &'a TargetTable,
    /// Routes and services in force.
    pub routes: &'a RouteTable,
    /// Flows whose packets this instance has forwarded.
    pub flows: &'a FlowTracker,
    /// Live instances, among which senders to cold targets are ranked.
    pub view: &'a Arc<View>,
}

impl TargetChoice<'_> {
    /// Returns the index of the target that a new flow of `service` goes to, or `None` if no target
    /// may get it. `is_repeatable` is whether the caller can repeat the flow's requests.
    pub fn choose(&self, service: &str, is_repeatable: bool, now: Instant) -> Option<usize> {
        let on_trial = self.target_on_trial(service, now).filter(|_| is_repeatable);
        if on_trial.is_some() {
            return on_trial;
        }
        let indices = self.targets.indices_by_service(service).iter().copied();
        let allowed = indices.filter(|index| self.may_take_new_flow(service, *index, now));
        let candidates = allowed.map(|index| self.candidate(index, is_repeatable, now));
        choose_target(self.data_centre, candidates)
    }

    /// Returns a target that this instance tries out: one whose circuit breaker is half-open, for
    /// which the instance ranks first in the target's data centre, and which has got few flows since.
    fn target_on_trial(&self, service: &str, now: Instant) -> Option<usize> {
        self.targets.on_trial().iter().copied().find(|index| {
            let entry = self.targets.get(*index);
            let Registration { target, data_centre, service: of_target, .. } = &entry.registration;
            of_target == service
                && data_centre == self.data_centre
                && entry.health().is_healthy(now)
                && entry.trial_flow_counter.is_below(TRIAL_FLOWS, now)
                && self.may_take_new_flow(service, *index, now)
                && ranks_first(target, self.instance, self.members_in(data_centre))
        })
    }

    fn members_in<'b>(
        &'b self,
        data_centre: &'b DataCentreId,
    ) -> impl Iterator<Item = &'b InstanceId> {
        let members = self.view.members().iter();
        members.filter(move |member| member.data_centre == *data_centre).map(|member| &member.id)
    }

    /// Returns whether a target of the preferred data centre may get a new flow of `service`.
    pub fn has_preferred(&self, service: &str, now: Instant) -> bool {
        let indices = self.targets.indices_by_service(service);
        indices.iter().any(|index| {
            let entry = self.targets.get(*index);
            entry.registration.data_centre == *self.data_centre
                && !entry.health().is_down()
                && self.may_take_new_flow(service, *index, now)
        })
    }

    /// Returns whether a new flow may go to a target. A cold target gets new flows only from the
    /// instance that ranks first for it, within that instance's share of the limit.
    fn may_take_new_flow(&self, service: &str, index: usize, now: Instant) -> bool {
        let entry = self.targets.get(index);
        if !entry.accepts_new_flows() {
            return false;
        }
        if !entry.is_cold(now) {
            return true;
        }
        let capacity =
            self.routes.service(service).map_or(0, |service| service.cold_flows_per_second);
        let members = self.view.members().iter().map(|member| &member.id);
        ranks_first(&entry.registration.target, self.instance, members)
            && entry
                .cold_flow_counter
                .is_below(self.cold_start_limit.flows_per_window(capacity), now)
    }

    fn candidate(&self, index: usize, is_repeatable: bool, now: Instant) -> Candidate<'_> {
        let entry = self.targets.get(index);
        let health = if entry.health().is_down() {
            HealthRank::Down
        } else if entry.health().is_healthy(now) && entry.breaker().admits(is_repeatable) {
            HealthRank::Healthy
        } else {
            HealthRank::Suspected
        };
        let slots = entry.registration.slots.max(1);
        let load_per_mille = self.flows.running_requests(index).saturating_mul(1_000) / slots;
        let load_per_mille = load_per_mille.saturating_mul(entry.weight().divisor());
        let Registration { service, data_centre, .. } = &entry.registration;
        let rounds = self.targets.rounds(service, data_centre);
        let (round, position) = (rounds.rounds_ahead(entry.round), entry.position);
        Candidate { index, data_centre, health, load_per_mille, round, position }
    }
}
