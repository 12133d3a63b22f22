//! Packet forwarder for packets that carry their target's cookie. It makes decisions and does no I/O.
//!
//! Any instance can forward any packet of an open flow by its cookie alone. Only the packet that opens
//! a flow requires a choice of target. Retransmissions of the opening packet, and the packets that
//! follow it, show whether the target answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::answer_outliers::ObservedAnswer;
use crate::cold_start_limit::{ranks_first, ColdStartLimit};
use crate::collections::HashMap;
use crate::cookie::CookieHasher;
use crate::cookie_verdict::{CookieVerdict, DropReason, ResetReason};
use crate::demand_exchange::DemandReport;
use crate::directory::Directory;
use crate::directory_message::{AnnouncedWeight, TargetAnswers, TargetCondition};
use crate::ended_target::{end_cause, EndedTarget};
use crate::flow::{FlowHasher, FlowKey, Protocol};
use crate::flow_tracker::{AnswerTime, FlowTracker};
use crate::health_check::CheckOutcome;
use crate::ids::{DataCentreId, FlowHash, InstanceId, ServiceId, TargetId};
use crate::log_message::CONDITION;
use crate::opening::{first_transmission, Opening, OpeningDecision};
use crate::opening_admission::{OpeningAdmission, OpeningOutcome};
use crate::opening_queue::HeldOpening;
use crate::outage_losses::{OutageLoss, OutageLosses};
use crate::reset_queue::{QueuedReset, ResetQueue};
use crate::room::ServiceRoom;
use crate::room_table::RoomTable;
use crate::route::{Part, RecordBody, Registration};
use crate::route_table::{RouteLookup, RouteTable};
use crate::route_work::RouteWork;
use crate::scarce_room::ScarceRoom;
use crate::segment::{Control, FlowEnds, Segment};
use crate::slow_targets::{SlowTargets, WeightMessage};
use crate::spillover::{self, Spillover};
use crate::target_choice::TargetChoice;
use crate::target_health::{HealthTransition, HANDSHAKE_TIMEOUT};
use crate::target_table::{RegistrationChange, TargetEntry, TargetTable};
use crate::target_weight::{WeightChange, WeightClass};
use crate::view::{Member, View};
use crate::waiting_flows::WaitingFlow;

/// Time for which an opening is remembered, which must exceed the time until the caller's last
/// retransmission of the opening packet.
pub const OPENING_RETENTION: Duration = Duration::from_millis(1_600);
/// Age of the routing up to which a flow without a route is reset. With older routing its packets are
/// dropped, because a route may have been added that the instance has not received.
pub const MAX_ROUTING_AGE: Duration = Duration::from_millis(2_600);
/// Time beyond the cold time of its service for which a recovered target is treated as cold.
const RECOVERY_MARGIN: Duration = Duration::from_millis(300);
/// Part of the outage bound that is reserved for the outage record to reach this instance and for
/// forwarded packets to reach their targets.
pub const OUTAGE_MARGIN: Duration = Duration::from_millis(600);
/// Number of consecutive failed health checks after which a target that gets no new flows is no
/// longer checked. Its open flows need the confirmation that it is down, and nothing waits for its
/// recovery.
pub const MAX_CHECKS_WITHOUT_NEW_FLOWS: u32 = 4;
/// Number of health checks that one change of registrations may request for targets that are gone.
const MAX_GONE_CHECKS: usize = 32;
/// Cold time of a service that the routing does not list.
const DEFAULT_COLD_TIME: Duration = Duration::from_secs(2);

/// Health check of a target that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// Target to check.
    pub target: TargetId,
    /// Address to which the check connects.
    pub address: SocketAddr,
    /// Path of the HTTP request that the check sends.
    pub path: smol_str::SmolStr,
}

/// Change of a target's condition, to be reported to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionChange {
    /// Target whose condition changed.
    pub target: TargetId,
    /// Condition of the target after the change.
    pub condition: TargetCondition,
    /// Data centre of the target, on which the recipients of the report depend.
    pub data_centre: DataCentreId,
}

/// Settings of a packet forwarder.
#[derive(Clone, Debug)]
pub struct CookieForwarderSetup {
    /// Name of the instance, by which it is ranked among the senders to a cold target.
    pub id: InstanceId,
    /// Data centre of the instance, whose targets are preferred.
    pub data_centre: DataCentreId,
    /// Key of the hashes that yield cookies and that select a service for a flow.
    pub flow_key: [u8; 16],
    /// Limit on new flows to a cold target.
    pub cold_start_limit: ColdStartLimit,
    /// Time after the start of an outage of a data centre from which no packet may reach it.
    pub outage_bound: Duration,
}

/// Duration that is measured from the packets of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowTiming {
    /// Time from a flow's first opening packet to the first packet of the open flow.
    Opened(Duration),
    /// Time from a caller's last new data to its first acknowledgement of data from the target.
    Answered(Duration),
}

/// Packet forwarder for packets that carry their target's cookie.
pub struct CookieForwarder {
    setup: CookieForwarderSetup,
    hasher: FlowHasher,
    routes: RouteTable,
    targets: TargetTable,
    watch: FlowTracker,
    view: Arc<View>,
    /// Whether instances joined or left since held openings were last released.
    has_other_members: bool,
    rooms: HashMap<ServiceId, ServiceRoom>,
    slow_targets: SlowTargets,
    room_table: RoomTable,
    spillovers: BTreeMap<ServiceId, Spillover>,
    admission: OpeningAdmission,
    work: RouteWork,
    routing_confirmed_at: Option<Instant>,
    condition_changes: Vec<ConditionChange>,
    timings: Vec<FlowTiming>,
    registration_changes: Vec<(TargetId, RegistrationChange)>,
    resets: ResetQueue,
    /// Targets whose refusal of connections is certain and whose waiting flows are queued.
    refusing: BTreeSet<usize>,
    ended: Vec<EndedTarget>,
    refusals: Vec<(TargetId, DataCentreId)>,
    outage_losses: OutageLosses,
}

impl CookieForwarder {
    /// Creates a forwarder that has no routes and no targets.
    pub fn new(setup: CookieForwarderSetup) -> Self {
        Self {
            hasher: FlowHasher::new(setup.flow_key),
            room_table: RoomTable::new(setup.id.clone(), setup.data_centre.clone()),
            spillovers: BTreeMap::new(),
            targets: TargetTable::new(setup.id.clone(), CookieHasher::new(setup.flow_key)),
            slow_targets: SlowTargets::new(setup.id.clone(), setup.data_centre.clone()),
            setup,
            routes: RouteTable::default(),
            watch: FlowTracker::default(),
            view: Arc::default(),
            has_other_members: false,
            rooms: HashMap::default(),
            admission: OpeningAdmission::new(Box::new(ScarceRoom::default())),
            work: RouteWork::default(),
            routing_confirmed_at: None,
            condition_changes: Vec::new(),
            timings: Vec::new(),
            registration_changes: Vec::new(),
            resets: ResetQueue::default(),
            refusing: BTreeSet::new(),
            ended: Vec::new(),
            refusals: Vec::new(),
            outage_losses: OutageLosses::default(),
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the table of known targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the record of the flows whose packets this instance has forwarded.
    pub fn watch(&self) -> &FlowTracker {
        &self.watch
    }

    /// Sets the live instances, among which senders to cold targets are ranked. If other instances
    /// are alive than before, the next tick places all held openings, since the fabric may send
    /// further copies of them to another instance.
    pub fn set_view(&mut self, view: Arc<View>) {
        self.has_other_members |= view.digest() != self.view.digest();
        self.view = view;
    }

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
    fn update_spillovers(&mut self, now: Instant) {
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

    /// Returns the number of openings that are held until their service has room.
    pub fn held_openings(&self) -> usize {
        self.admission.held()
    }

    /// Returns the openings that were held, released or refused since the last call.
    pub fn take_opening_outcomes(&mut self) -> Vec<OpeningOutcome> {
        self.admission.take_outcomes()
    }

    /// Places all held openings in order. From now on openings are placed at once.
    pub fn close_openings(&mut self, now: Instant) {
        self.admission.close();
        self.release_openings(now);
    }

    /// Applies a part of the directory that has changed.
    pub fn update(&mut self, directory: &Directory, part: Part, now: Instant) {
        match part {
            Part::Routing => {
                self.routes.rebuild(directory);
                self.admission.set_routes(&self.routes);
                self.release_rerouted_openings(now);
            }
            Part::Targets => {
                for (_, body) in directory.records(Part::Targets) {
                    if let RecordBody::Registration(registration) = body {
                        let change = self.targets.update(registration, now);
                        let target = registration.target.clone();
                        if change == Some(RegistrationChange::Restarted) {
                            if let Some(index) = self.targets.index(&target) {
                                self.slow_targets.forget(index);
                            }
                        }
                        self.registration_changes.extend(change.map(|change| (target, change)));
                    }
                }
                self.update_outages(directory, now);
                self.check_gone_targets(now);
            }
            Part::Outages => {
                self.update_outages(directory, now);
                let targets = &self.targets;
                self.outage_losses
                    .retain_flows(|data_centre| targets.is_out_of_service(data_centre));
            }
        }
    }

    /// Sets the time at which the store last confirmed the routing; `None` if it never has.
    pub fn set_routing_confirmed(&mut self, at: Option<Instant>) {
        self.routing_confirmed_at = at;
    }

    /// Returns the time since the store last confirmed the routing; `None` if it never has.
    pub fn routing_age(&self, now: Instant) -> Option<Duration> {
        self.routing_confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the verdict on a packet of a caller, of which only the header is known.
    pub fn on_segment(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
        self.on_packet(segment, &[], now)
    }

    /// Returns the verdict on a packet of a caller. Keeps a copy of the packet if it is held.
    pub fn on_packet(&mut self, segment: &Segment, packet: &[u8], now: Instant) -> CookieVerdict {
        if segment.control.opens {
            self.open_flow(segment, packet, now)
        } else {
            self.forward_open(segment, now)
        }
    }

    /// Releases held openings, counts unanswered openings against their targets, expires old state,
    /// and returns the health checks that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<DueCheck> {
        if std::mem::take(&mut self.has_other_members) {
            self.place_held_openings(now);
        }
        self.release_openings(now);
        self.admission.expire_released(HANDSHAKE_TIMEOUT, now);
        for target in self.watch.take_unanswered(now, HANDSHAKE_TIMEOUT) {
            self.targets.health_mut(target).record_failure(now);
        }
        for index in self.targets.take_ended() {
            self.queue_resets(index);
        }
        self.slow_targets.start_tick(now);
        for (address, overdue) in self.watch.expire(now, OPENING_RETENTION) {
            self.observe_answer(&address, &overdue, now);
        }
        self.slow_targets.tick(&self.view, &mut self.targets, now);
        let mut checks = Vec::new();
        let unsettled = self.targets.unsettled();
        self.queue_resets_of_refusing(&unsettled);
        for index in unsettled {
            let is_checked = is_worth_checking(self.targets.get(index));
            let health = self.targets.health_mut(index);
            health.expire_report(now);
            if !is_checked || !health.start_due_check(now) {
                continue;
            }
            let entry = self.targets.get(index);
            let service = self.routes.service(&entry.registration.service);
            let path = service.map_or_else(|| "/".into(), |service| service.health_path.clone());
            let target = entry.registration.target.clone();
            checks.push(DueCheck { target, address: entry.address(), path });
        }
        checks
    }

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

    /// Replaces the limit on new flows to cold targets and the outage bound.
    pub fn set_bounds(&mut self, cold_start_limit: ColdStartLimit, outage_bound: Duration) {
        self.setup.cold_start_limit = cold_start_limit;
        self.setup.outage_bound = outage_bound;
    }

    /// Returns whether at least one of the targets that accept new flows is not known to be down.
    /// Returns `true` if no target accepts new flows.
    pub fn reaches_any_target(&self) -> bool {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        let mut accepting = targets.filter(|target| target.accepts_new_flows()).peekable();
        accepting.peek().is_none() || accepting.any(|target| !target.health().is_down())
    }

    /// Returns the number of targets that accept new flows but are down.
    pub fn count_down_targets(&self) -> usize {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        targets.filter(|target| target.accepts_new_flows() && target.health().is_down()).count()
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

    /// Records the outcome of a health check.
    pub fn on_check(&mut self, target: &str, outcome: CheckOutcome, now: Instant) {
        let Some(index) = self.targets.index(target) else { return };
        let health = self.targets.health_mut(index);
        let finding = health.on_check(outcome, now);
        if outcome == CheckOutcome::Refused && health.is_refusal_to_announce() {
            let Registration { target, data_centre, .. } = &self.targets.get(index).registration;
            self.refusals.push((target.clone(), data_centre.clone()));
        }
        self.apply_finding(index, finding, now, true);
    }

    /// Records the report of another instance on a target.
    ///
    /// Only two kinds of instances are trusted: those in this instance's data centre, which use the
    /// same network paths, and those in the target's data centre, which are closest to the target.
    /// Any other instance can confirm what this one found about a target of its own data centre,
    /// where it may be the only instance.
    pub fn on_condition(
        &mut self,
        from: &Member,
        target: &str,
        condition: TargetCondition,
        now: Instant,
    ) {
        let Some(index) = self.targets.index(target) else { return };
        let is_verifier = self.is_verifier(from, target);
        let is_own_data_centre = from.data_centre == self.setup.data_centre;
        let target_data_centre = &self.targets.get(index).registration.data_centre;
        let is_local_target = *target_data_centre == self.setup.data_centre;
        let is_trusted = is_own_data_centre || from.data_centre == *target_data_centre;
        if !is_trusted {
            if is_local_target && condition == TargetCondition::Down {
                self.targets.health_mut(index).confirm_own_finding(now);
            }
            return;
        }
        let has_waiting_callers =
            condition == TargetCondition::Down && self.has_repeatable_waiting(index);
        let health = self.targets.health_mut(index);
        let finding = match condition {
            TargetCondition::Down => health.on_down_report(now),
            TargetCondition::Up => health.on_up_report(),
        };
        if is_verifier {
            health.verify_report(now);
        } else if has_waiting_callers {
            health.verify_report_unannounced(now);
        }
        self.apply_finding(index, finding, now, false);
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

    /// Returns whether this instance verifies the report of `from` on a target by a health check of
    /// its own. One instance in each data centre does, so that a fault of the reporting instance is
    /// not mistaken for a fault of the target.
    fn is_verifier(&self, from: &Member, target: &str) -> bool {
        let data_centre = &self.setup.data_centre;
        let members = self.view.members().iter();
        let others = members.filter(|it| it.data_centre == *data_centre && it.id != from.id);
        ranks_first(target, &self.setup.id, others.map(|member| &member.id))
    }

    /// Returns the changes of conditions since the last call, to be reported to other instances.
    pub fn take_condition_changes(&mut self) -> Vec<ConditionChange> {
        std::mem::take(&mut self.condition_changes)
    }

    /// Returns the durations that were measured since the last call.
    pub fn take_timings(&mut self) -> Vec<FlowTiming> {
        std::mem::take(&mut self.timings)
    }

    /// Returns the changes of registrations since the last call.
    pub fn take_registration_changes(&mut self) -> Vec<(TargetId, RegistrationChange)> {
        std::mem::take(&mut self.registration_changes)
    }

    fn update_outages(&mut self, directory: &Directory, now: Instant) {
        let out: Vec<_> = directory.records(Part::Outages).map(|(name, _)| name.clone()).collect();
        self.targets.set_outages(|data_centre| out.contains(data_centre), now);
    }

    /// Has those targets checked whose registration is gone and for which callers wait. A
    /// registration also lapses if the target cannot reach the store, so it alone proves nothing.
    fn check_gone_targets(&mut self, now: Instant) {
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
    fn queue_resets_of_refusing(&mut self, unsettled: &[usize]) {
        let is_refusing =
            |index: &usize| self.targets.get(*index).health().refused_since().is_some();
        let refusing: BTreeSet<_> = unsettled.iter().copied().filter(is_refusing).collect();
        let former = std::mem::replace(&mut self.refusing, refusing.clone());
        for index in refusing.difference(&former) {
            self.queue_resets(*index);
        }
    }

    /// Queues resets for the flows that wait for a target which has ended.
    fn queue_resets(&mut self, index: usize) {
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
    fn has_repeatable_waiting(&self, index: usize) -> bool {
        self.watch.waiting().of_target(index).any(|(ends, _)| self.is_repeatable(ends))
    }

    /// Returns whether the caller of a flow can repeat its request at another target.
    fn is_repeatable(&self, ends: &FlowEnds) -> bool {
        let found = self.routes.lookup(&ends.service);
        matches!(found, RouteLookup::Route(entry) if entry.route.is_idempotent)
    }

    fn open_flow(&mut self, segment: &Segment, packet: &[u8], now: Instant) -> CookieVerdict {
        let held = self.admission.replace_copy(segment, packet, &self.rooms, now);
        if let Some(service) = held {
            self.release_openings_of(&service, now);
            return CookieVerdict::Hold;
        }
        let opening = match self.opening(segment, now) {
            Ok(opening) => opening,
            Err(verdict) => return verdict,
        };
        let service = opening.service.clone();
        self.release_openings_of(&service, now);
        if let Some(last) = self.watch.half_open(&segment.ends).map(|opening| opening.target) {
            // A copy that follows the release of a held opening closely does not show a failure.
            if self.admission.was_released(&segment.ends, HANDSHAKE_TIMEOUT, now)
                && self.targets.get(last).accepts_new_flows()
            {
                return self.forward_opening(segment, last, now);
            }
            // The failure makes the target suspected, so that a retransmission goes to another one.
            self.targets.health_mut(last).record_failure(now);
        } else {
            match self.admission.admit(opening, (segment, packet), &self.rooms, now) {
                OpeningDecision::Place => {}
                OpeningDecision::Hold => return CookieVerdict::Hold,
                OpeningDecision::Refuse(reason) => return CookieVerdict::Reset(reason),
            }
        }
        self.place(segment, &service, now)
    }

    /// Returns the opening that a packet asks for, or the verdict on the packet if its address has no
    /// route or the route has no service.
    fn opening(&self, segment: &Segment, now: Instant) -> Result<Opening, CookieVerdict> {
        let entry = match self.routes.lookup(&segment.ends.service) {
            RouteLookup::Route(entry) => entry,
            RouteLookup::Removed | RouteLookup::Unknown => {
                return Err(self.reject_unknown_address(now));
            }
        };
        let service = entry.select_service(self.hash(segment));
        let service = service.ok_or(CookieVerdict::Reset(ResetReason::NoTarget))?;
        let route = &entry.route;
        Ok(Opening {
            ends: segment.ends,
            service: service.clone(),
            precedence: route.precedence,
            aim: route.aim,
            timeout: route.timeout,
            work: self.work.work(&route.name, service).unwrap_or_default(),
            first_seen_at: first_transmission(segment, now),
        })
    }

    /// Places or refuses the held openings that need not wait any longer.
    fn release_openings(&mut self, now: Instant) {
        if self.admission.held() == 0 {
            return;
        }
        let decided = self.admission.take_decided(&self.rooms, now);
        self.carry_out_decided(decided, now);
    }

    /// Places or refuses the held openings of one service that need not wait any longer.
    fn release_openings_of(&mut self, service: &str, now: Instant) {
        if self.admission.held() == 0 {
            return;
        }
        let decided = self.admission.take_decided_of(service, &self.rooms, now);
        self.carry_out_decided(decided, now);
    }

    fn carry_out_decided(&mut self, decided: Vec<(HeldOpening, OpeningDecision)>, now: Instant) {
        for (held, decision) in decided {
            let verdict = match decision {
                OpeningDecision::Refuse(reason) => CookieVerdict::Reset(reason),
                _ => self.place(&held.segment, &held.opening.service, now),
            };
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    /// Places all held openings in order.
    fn place_held_openings(&mut self, now: Instant) {
        for held in self.admission.take_held(now) {
            let verdict = self.place(&held.segment, &held.opening.service, now);
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    /// Places the held openings whose route has changed, and rejects those whose route was removed.
    fn release_rerouted_openings(&mut self, now: Instant) {
        for held in self.admission.take_held(now) {
            let verdict = match self.opening(&held.segment, now) {
                Ok(opening) if has_same_route(&opening, &held) => {
                    self.admission.put_back(held);
                    continue;
                }
                Ok(opening) => self.place(&held.segment, &opening.service, now),
                Err(verdict) => verdict,
            };
            self.admission.finish(held, verdict, &self.rooms, now);
        }
    }

    fn place(&mut self, segment: &Segment, service: &ServiceId, now: Instant) -> CookieVerdict {
        match self.choose_target(service, segment, now) {
            Some(index) => {
                self.room_table.demand.record_opening(service, now);
                self.forward_opening(segment, index, now)
            }
            None => {
                self.room_table.demand.record_refused(service, now);
                CookieVerdict::Reset(ResetReason::NoTarget)
            }
        }
    }

    fn reject_unknown_address(&self, now: Instant) -> CookieVerdict {
        let is_current = self.routing_confirmed_at.is_some_and(|at| now < at + MAX_ROUTING_AGE);
        if is_current {
            CookieVerdict::Reset(ResetReason::NoRoute)
        } else {
            CookieVerdict::Drop(DropReason::RouteInDoubt)
        }
    }

    fn forward_opening(&mut self, segment: &Segment, index: usize, now: Instant) -> CookieVerdict {
        self.watch.record_half_open(segment.ends, index, now);
        self.targets.record_chosen(index);
        let entry = self.targets.get_mut(index);
        if entry.is_cold(now) {
            entry.cold_flow_counter.record(now);
        }
        CookieVerdict::Forward {
            to: entry.address(),
            token: entry.registration.token,
            cookie: entry.cookie,
            opens: true,
        }
    }

    fn choose_target(&self, service: &str, segment: &Segment, now: Instant) -> Option<usize> {
        let local = TargetChoice {
            instance: &self.setup.id,
            data_centre: &self.setup.data_centre,
            cold_start_limit: self.setup.cold_start_limit,
            targets: &self.targets,
            routes: &self.routes,
            flows: &self.watch,
            view: &self.view,
        };
        let destination = self.spill_destination(service, segment);
        let spilled = destination.map(|data_centre| TargetChoice { data_centre, ..local.clone() });
        // The targets of the destination may be gone since the share was computed.
        let spilled = spilled.filter(|choice| choice.has_preferred(service, now));
        spilled.unwrap_or(local).choose(service, now)
    }

    /// Returns the data centre to which a new flow spills over; `None` if it stays. A copy of an
    /// opening stays, since the data centre that got the first one may be cut off.
    fn spill_destination(&self, service: &str, segment: &Segment) -> Option<&DataCentreId> {
        let is_copy = segment.ack > 0 || self.watch.half_open(&segment.ends).is_some();
        let spillover = self.spillovers.get(service).filter(|_| !is_copy)?;
        spillover.destination(self.hash(segment))
    }

    fn forward_open(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
        if segment.cookie == 0 {
            return CookieVerdict::Drop(DropReason::NoCookie);
        }
        let entry = match self.routes.lookup(&segment.ends.service) {
            RouteLookup::Route(entry) => entry,
            RouteLookup::Removed => return CookieVerdict::Reset(ResetReason::RouteRemoved),
            RouteLookup::Unknown => return CookieVerdict::Drop(DropReason::RouteInDoubt),
        };
        let Some(index) = self.targets.index_by_cookie(segment.cookie) else {
            return CookieVerdict::Drop(DropReason::UnknownCookie);
        };
        let target = self.targets.get(index);
        if !entry.accepts_service(&target.registration.service) {
            return CookieVerdict::Drop(DropReason::ForeignCookie);
        }
        if target.has_ended {
            self.watch.close(&segment.ends);
            return CookieVerdict::Reset(ResetReason::TargetEnded);
        }
        let outage_grace = self.setup.outage_bound.saturating_sub(OUTAGE_MARGIN);
        if !target.carries_open(now, outage_grace) {
            let Registration { data_centre, service, .. } = &target.registration;
            self.outage_losses.record(data_centre, service, segment.ends);
            return CookieVerdict::Drop(DropReason::Outage);
        }
        if segment.data_len > 0 && entry.route.is_idempotent && target.health().is_confirmed_down()
        {
            self.watch.close(&segment.ends);
            return CookieVerdict::Reset(ResetReason::TargetDown);
        }
        let verdict = CookieVerdict::Forward {
            to: target.address(),
            token: target.registration.token,
            cookie: segment.cookie,
            opens: false,
        };
        let seen = self.watch.record_segment(segment, index, now);
        self.timings.extend(seen.handshake_time.map(FlowTiming::Opened));
        if let Some(answer) = seen.answer {
            self.record_answer(&segment.ends.service, &answer, now);
        }
        if seen.starts_request {
            let registration = &self.targets.get(index).registration;
            let is_remote = registration.data_centre != self.setup.data_centre;
            self.room_table.demand.record_request(&registration.service, is_remote, now);
        }
        if seen.begins_later_request {
            let service = &self.targets.get(index).registration.service;
            self.admission.record_request(service, &self.rooms, now);
        }
        if seen.is_progress && !self.targets.get(index).health().has_no_failures() {
            let finding = self.targets.health_mut(index).record_progress();
            self.apply_finding(index, finding, now, true);
        } else if seen.is_retransmission && !seen.is_progress {
            let health = self.targets.health_mut(index);
            health.record_failure(now);
            health.verify_report(now);
        }
        verdict
    }

    fn record_answer(&mut self, address: &SocketAddrV4, answer: &AnswerTime, now: Instant) {
        self.timings.push(FlowTiming::Answered(answer.response_time));
        self.observe_answer(address, answer, now);
        let RouteLookup::Route(entry) = self.routes.lookup(address) else { return };
        let service = &self.targets.get(answer.target).registration.service;
        let kind = self.work.record(&entry.route.name, service, answer, now);
        self.admission.record_answer(service, kind, now);
        self.room_table.demand.record_answer(service, answer, kind, now);
    }

    /// Observes how long a target took for a request. Targets that show failures are avoided anyway,
    /// and their answers are no sign of slowness.
    fn observe_answer(&mut self, address: &SocketAddrV4, answer: &AnswerTime, now: Instant) {
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

    fn apply_finding(
        &mut self,
        index: usize,
        finding: HealthTransition,
        now: Instant,
        is_own: bool,
    ) {
        let entry = self.targets.get(index);
        let service = self.routes.service(&entry.registration.service);
        let cold_time = service.map_or(DEFAULT_COLD_TIME, |service| service.cold_time);
        let entry = self.targets.get_mut(index);
        let condition = match finding {
            HealthTransition::Unchanged => return,
            HealthTransition::WentDown | HealthTransition::Confirmed => TargetCondition::Down,
            HealthTransition::Recovered => {
                entry.mark_cold(now, cold_time + RECOVERY_MARGIN);
                TargetCondition::Up
            }
        };
        let target = entry.registration.target.clone();
        log::info!(
            target = target.as_str(), condition:? = condition, own:? = is_own;
            "{CONDITION}"
        );
        if is_own {
            let data_centre = entry.registration.data_centre.clone();
            self.condition_changes.push(ConditionChange { target, condition, data_centre });
        }
    }

    fn hash(&self, segment: &Segment) -> FlowHash {
        self.hasher.hash(&FlowKey {
            protocol: Protocol::Tcp,
            caller: SocketAddr::V4(segment.ends.caller),
            service: SocketAddr::V4(segment.ends.service),
        })
    }
}

/// Returns whether a held opening would be the same with the routes in force.
fn has_same_route(opening: &Opening, held: &HeldOpening) -> bool {
    let requirements = |it: &Opening| (it.service.clone(), it.precedence, it.aim, it.timeout);
    requirements(opening) == requirements(&held.opening)
}

/// Returns whether a due health check of a target is made. Without new flows, a few failed checks
/// are enough.
fn is_worth_checking(entry: &TargetEntry) -> bool {
    let has_enough_failures = entry.health().failed_checks() >= MAX_CHECKS_WITHOUT_NEW_FLOWS;
    entry.accepts_new_flows() || (entry.is_reachable() && !has_enough_failures)
}
