//! Ended targets at the packet forwarder: resets of the flows that wait for them, and packets that
//! get no response since their data centre is out of service.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::CookieForwarder;
use crate::ended_target::{end_cause, EndedTarget};
use crate::ids::{DataCentreId, TargetId};
use crate::outage_losses::OutageLoss;
use crate::reset_queue::QueuedReset;
use crate::route_table::RouteLookup;
use crate::segment::{Control, FlowEnds, Segment};
use crate::target_table::RegistrationChange;
use crate::view::Member;
use crate::waiting_flows::WaitingFlow;

/// Number of health checks that one change of registrations may request for targets that are gone.
const MAX_GONE_CHECKS: usize = 32;

impl CookieForwarder {
    /// Returns the resets that are due, as segments of the waiting callers to respond to. At most as
    /// many are due as the rate of resets allows.
    pub fn take_due_resets(&mut self, now: Instant) -> Vec<Segment> {
        let mut due = Vec::new();
        while let Some(queued) = self.resets.pop(now) {
            // The caller may have got its answer or closed the flow since the reset was queued, and
            // the target may have come back.
            let waiting = self.watch.waiting().get(&queued.ends);
            let still = waiting
                .filter(|flow| (flow.since, flow.target) == (queued.since, queued.target))
                .filter(|flow| end_cause(self.targets.get(flow.target), flow.opened_at).is_some());
            let Some(&WaitingFlow { target, ack, .. }) = still else { continue };
            self.watch.close(&queued.ends);
            self.resets.record_sent();
            let control = Control { acknowledges: true, ..Control::default() };
            let cookie = self.targets.get(target).cookie;
            due.push(Segment { ends: queued.ends, control, seq: 0, ack, data_len: 0, cookie });
        }
        due
    }

    /// Returns the targets that have ended while callers waited for them, since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedTarget> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the packets dropped because of data centres out of service, since the last report.
    pub fn take_outage_losses(&mut self, now: Instant) -> Vec<OutageLoss> {
        self.outage_losses.take_report(now)
    }

    /// Sets the time at which the store last confirmed the registrations; `None` if it never has.
    pub fn set_targets_confirmed(&mut self, at: Option<Instant>) {
        self.targets.set_confirmed(at);
    }

    /// Sets the Unix time at `now`, to which the start times of targets are compared.
    pub fn set_unix_time(&mut self, now: Instant, unix_time: Duration) {
        self.targets.set_unix_time(now, unix_time);
    }

    /// Sets the speed of the instance's link, which limits the rate of resets.
    pub fn set_link_mbps(&mut self, link_mbps: f64) {
        self.resets.set_link_mbps(link_mbps);
    }

    /// Records that the health checks of another instance were refused by a target's host.
    ///
    /// An instance of another data centre than the target's may be cut off from a target together
    /// with this one, unless the target is in this instance's own.
    pub fn on_refused(&mut self, from: &Member, target: &str, now: Instant) {
        let Some(index) = self.targets.index(target) else { return };
        let target_data_centre = &self.targets.get(index).registration.data_centre;
        let is_local_target = *target_data_centre == self.setup.data_centre;
        if is_local_target || from.data_centre == *target_data_centre {
            self.targets.health_mut(index).witness_refusal(now);
        }
    }

    /// Returns the targets whose hosts refused the checks of this instance since the last call, to
    /// be reported like changes of their condition.
    pub fn take_refusals(&mut self) -> Vec<(TargetId, DataCentreId)> {
        std::mem::take(&mut self.refusals)
    }

    /// Has those targets checked whose registration is gone and for which callers wait. A
    /// registration also lapses if the target cannot reach the store, so it alone proves nothing.
    pub(super) fn check_gone_targets(&mut self, now: Instant) {
        let is_gone =
            |(_, change): &&(TargetId, RegistrationChange)| *change == RegistrationChange::Gone;
        let gone = self.registration_changes.iter().filter(is_gone);
        let gone = gone.filter_map(|(target, _)| self.targets.index(target));
        let awaited = gone.filter(|index| self.has_repeatable_waiting(*index));
        let awaited: Vec<_> = awaited.take(MAX_GONE_CHECKS).collect();
        for index in awaited {
            self.targets.health_mut(index).request_check(now);
        }
    }

    /// Queues resets for targets that have begun to refuse connections for certain. Once they are
    /// queued, further packets of the target's flows are reset when they arrive.
    pub(super) fn queue_resets_of_refusing(&mut self, unsettled: &[usize]) {
        let is_refusing =
            |index: &usize| self.targets.get(*index).health().refused_since().is_some();
        let refusing: BTreeSet<_> = unsettled.iter().copied().filter(is_refusing).collect();
        let former = std::mem::replace(&mut self.refusing, refusing.clone());
        for index in refusing.difference(&former) {
            self.queue_resets(*index);
        }
    }

    /// Queues resets for the flows that wait for a target which has ended.
    pub(super) fn queue_resets(&mut self, index: usize) {
        let entry = self.targets.get(index);
        let (mut cause, mut resets, mut kept) = (None, 0, 0);
        for (ends, flow) in self.watch.waiting().of_target(index) {
            let Some(found) = end_cause(entry, flow.opened_at) else { continue };
            cause.get_or_insert(found);
            if self.is_repeatable(ends) {
                resets += 1;
                self.resets.push(QueuedReset { ends: *ends, since: flow.since, target: index });
            } else {
                kept += 1;
            }
        }
        let target = entry.registration.target.clone();
        self.ended.extend(cause.map(|cause| EndedTarget { target, cause, resets, kept }));
    }

    /// Returns whether a caller that can repeat its request waits for a target.
    pub(super) fn has_repeatable_waiting(&self, index: usize) -> bool {
        self.watch.waiting().of_target(index).any(|(ends, _)| self.is_repeatable(ends))
    }

    /// Returns whether the caller of a flow can repeat its request at another target.
    pub(super) fn is_repeatable(&self, ends: &FlowEnds) -> bool {
        let found = self.routes.lookup(&ends.service);
        matches!(found, RouteLookup::Route(entry) if entry.route.is_idempotent)
    }
}
