//! Loads at the packet forwarder: the room of services, the share of flows that spills over, the work
//! of routes, and the weights of targets that answer slowly.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use super::{CookieForwarder, FlowTiming};
use crate::answer_outliers::ObservedAnswer;
use crate::collections::HashMap;
use crate::demand_exchange::DemandReport;
use crate::directory_message::{AnnouncedWeight, TargetAnswers};
use crate::flow_tracker::AnswerTime;
use crate::ids::{DataCentreId, ServiceId};
use crate::room::ServiceRoom;
use crate::route_table::RouteLookup;
use crate::route_work::RouteWork;
use crate::slow_targets::WeightMessage;
use crate::spillover::{self, Spillover};
use crate::target_weight::{WeightChange, WeightClass};
use crate::view::Member;

impl CookieForwarder {
    /// Sets the room of the services, which replaces the former figures.
    pub fn set_rooms(&mut self, rooms: HashMap<ServiceId, ServiceRoom>) {
        self.rooms = rooms;
    }

    /// Returns the room of a service; `None` while it is unknown.
    pub fn room(&self, service: &str) -> Option<&ServiceRoom> {
        self.rooms.get(service)
    }

    /// Recomputes the rooms if that is due, and the share of each service's new flows that go to
    /// other data centres. Returns whether it was due.
    pub fn refresh_rooms(&mut self, now: Instant) -> bool {
        let rooms = self.room_table.refresh(&self.targets, &self.view, now);
        let Some(rooms) = rooms else { return false };
        self.set_rooms(rooms);
        self.update_spillovers(now);
        true
    }

    /// Updates the spillover of each service from its room.
    pub(super) fn update_spillovers(&mut self, now: Instant) {
        self.spillovers.retain(|service, _| self.rooms.contains_key(service));
        for (service, room) in &self.rooms {
            let plan = spillover::plan(room, &self.setup.data_centre);
            let traffic = self.room_table.demand.traffic(service, now);
            let spillover = self.spillovers.entry(service.clone()).or_default();
            spillover.update(plan, traffic, now);
        }
    }

    /// Returns the room and the spillover of the services that have demand, ordered by name.
    pub fn rooms_with_demand(
        &self,
    ) -> impl Iterator<Item = (&ServiceId, &ServiceRoom, &Spillover)> {
        let services = self.spillovers.iter();
        let rooms = services.filter_map(|(name, it)| Some((name, self.rooms.get(name)?, it)));
        rooms.filter(|(_, room, _)| {
            let mut demands = room.data_centres.iter().filter_map(|it| it.demand);
            demands.any(|demand| demand.requests_per_second > 0.0)
        })
    }

    /// Returns the spillover of each service, ordered by name.
    pub fn spillovers(&self) -> &BTreeMap<ServiceId, Spillover> {
        &self.spillovers
    }

    /// Records another instance's report on the demand of callers.
    pub fn on_demand_report(&mut self, from: &Member, report: &DemandReport, now: Instant) {
        self.room_table.exchange.on_report(from, report, &self.view, now);
    }

    /// Returns the time between two reports on the demand of callers to other instances.
    pub fn demand_report_interval(&self) -> Duration {
        self.room_table.report_interval()
    }

    /// Returns the report on the demand of callers for an instance of a data centre.
    pub fn demand_report(&self, receiver: &DataCentreId, now: Instant) -> DemandReport {
        self.room_table.exchange.report_for(receiver, now)
    }

    /// Returns the work of the requests of each route, as far as this instance has learned it.
    pub fn route_work(&self) -> &RouteWork {
        &self.work
    }

    /// Returns the number of targets in use whose weight is `class`.
    pub fn count_targets_by_weight(&self, class: WeightClass) -> usize {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        targets.filter(|target| target.accepts_new_flows() && target.weight() == class).count()
    }

    /// Records the numbers of answers that another instance observed.
    pub fn on_answer_report(&mut self, from: &Member, report: &[TargetAnswers], now: Instant) {
        self.slow_targets.on_report(from, report, &self.targets, now);
    }

    /// Records the weights of targets that another instance announced.
    pub fn on_weight_report(&mut self, from: &Member, weights: &[AnnouncedWeight], now: Instant) {
        self.slow_targets.on_weights(from, weights, &self.view, &mut self.targets, now);
    }

    /// Returns the messages on slow targets since the last call, to be sent to other instances.
    pub fn take_weight_messages(&mut self) -> Vec<WeightMessage> {
        self.slow_targets.take_messages()
    }

    /// Returns the changes of weights that this instance decided on since the last call.
    pub fn take_weight_changes(&mut self) -> Vec<WeightChange> {
        self.slow_targets.take_changes()
    }

    pub(super) fn record_answer(
        &mut self,
        address: &SocketAddrV4,
        answer: &AnswerTime,
        now: Instant,
    ) {
        self.timings.push(FlowTiming::Answered(answer.response_time));
        self.observe_answer(address, answer, now);
        self.failing_targets.on_answered(answer.target, answer.was_stalled);
        let RouteLookup::Route(entry) = self.routes.lookup(address) else { return };
        let service = &self.targets.get(answer.target).registration.service;
        let kind = self.work.record(&entry.route.name, service, answer, now);
        self.admission.record_answer(service, kind, now);
        self.room_table.demand.record_answer(service, answer, kind, now);
    }

    /// Observes how long a target took for a request. Targets that show failures are avoided anyway,
    /// and their answers are no sign of slowness.
    pub(super) fn observe_answer(
        &mut self,
        address: &SocketAddrV4,
        answer: &AnswerTime,
        now: Instant,
    ) {
        let RouteLookup::Route(entry) = self.routes.lookup(address) else { return };
        let target = self.targets.get(answer.target);
        if !target.health().is_healthy(now) {
            return;
        }
        let observed = ObservedAnswer {
            target: answer.target,
            service: &target.registration.service,
            data_centre: &target.registration.data_centre,
            route: *address,
            aim: entry.route.aim,
            time: answer.response_time,
        };
        self.slow_targets.on_answer(&observed, now);
    }
}
