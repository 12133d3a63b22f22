//! Failing targets at the packet forwarder: requests that stall, and circuit breakers.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::time::Instant;

use super::CookieForwarder;
use crate::circuit_breaker::BreakerState;
use crate::directory_message::{AnnouncedBreaker, TargetOutcomes};
use crate::failing_targets::{BreakerChange, BreakerMessage};
use crate::flow_tracker::StalledRequest;
use crate::route_table::RouteLookup;
use crate::view::Member;

impl CookieForwarder {
    /// Records the outcomes of requests that another instance reported.
    pub fn on_outcome_report(&mut self, from: &Member, report: &[TargetOutcomes], now: Instant) {
        self.failing_targets.on_report(from, report, &self.targets, now);
    }

    /// Records the states of circuit breakers that another instance announced.
    pub fn on_breaker_report(&mut self, from: &Member, states: &[AnnouncedBreaker], now: Instant) {
        self.failing_targets.on_states(from, states, &self.view, &mut self.targets, now);
    }

    /// Returns the messages on failing targets since the last call, to be sent to other instances.
    pub fn take_breaker_messages(&mut self) -> Vec<BreakerMessage> {
        self.failing_targets.take_messages()
    }

    /// Returns the changes of circuit breakers that this instance decided on since the last call.
    pub fn take_breaker_changes(&mut self) -> Vec<BreakerChange> {
        self.failing_targets.take_changes()
    }

    /// Returns the number of targets in use whose circuit breaker is in a state.
    pub fn count_targets_by_breaker(&self, state: BreakerState) -> usize {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        targets.filter(|target| target.accepts_new_flows() && target.breaker() == state).count()
    }

    /// Counts stalled requests against their targets, unless the fault may be this instance's own.
    pub(super) fn record_stalled_requests(&mut self, now: Instant) {
        for stalled in self.take_stalled_requests(now) {
            self.failing_targets.on_stalled(stalled.target);
        }
    }

    /// Reports, decides and applies the states of circuit breakers.
    pub(super) fn update_breakers(&mut self, now: Instant) {
        let slow_targets = &self.slow_targets;
        let rate = |target: usize| slow_targets.answers_per_second(target, now);
        self.failing_targets.tick(&self.view, &mut self.targets, rate, now);
    }

    fn take_stalled_requests(&mut self, now: Instant) -> Vec<StalledRequest> {
        let mut watch = std::mem::take(&mut self.watch);
        let mut stalled =
            watch.take_stalled(now, |address, target| self.stall_time(address, target));
        self.watch = watch;
        let outliers = self.slow_targets.outliers();
        stalled.retain(|request| {
            let service = &self.targets.get(request.target).registration.service;
            !outliers.was_paused_since(request.silent_since, now)
                && !outliers.is_slow_as_a_whole(service, now)
        });
        stalled
    }

    /// Returns the time without a packet of the caller from which a request counts as stalled.
    fn stall_time(&self, address: &SocketAddrV4, target: usize) -> Option<Duration> {
        let RouteLookup::Route(entry) = self.routes.lookup(address) else { return None };
        let data_centre = &self.targets.get(target).registration.data_centre;
        let outliers = self.slow_targets.outliers();
        outliers.outlier_time(*address, data_centre, entry.route.aim)
    }
}
