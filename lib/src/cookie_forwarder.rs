//! Packet forwarder for packets that carry their target's cookie. It makes decisions and does no I/O.
//!
//! Any instance can forward any packet of an open flow by its cookie alone. Only the packet that opens
//! a flow requires a choice of target. Retransmissions of the opening packet, and the packets that
//! follow it, show whether the target answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::cold_start_limit::{ranks_first, ColdStartLimit};
use crate::collections::HashMap;
use crate::cookie::CookieHasher;
use crate::cookie_verdict::{CookieVerdict, DropReason, ResetReason};
use crate::directory::Directory;
use crate::directory_message::TargetCondition;
use crate::ended_target::EndedTarget;
use crate::failing_targets::FailingTargets;
use crate::flow::{FlowHasher, FlowKey, Protocol};
use crate::flow_tracker::FlowTracker;
use crate::health_check::CheckOutcome;
use crate::ids::{DataCentreId, FlowHash, InstanceId, ServiceId, TargetId};
use crate::log_message::CONDITION;
use crate::opening_admission::OpeningAdmission;
use crate::outage_losses::OutageLosses;
use crate::reset_queue::ResetQueue;
use crate::room::ServiceRoom;
use crate::room_table::RoomTable;
use crate::route::{Part, RecordBody, Registration};
use crate::route_table::{RouteLookup, RouteTable};
use crate::route_work::RouteWork;
use crate::scarce_room::ScarceRoom;
use crate::segment::Segment;
use crate::slow_targets::SlowTargets;
use crate::spillover::Spillover;
use crate::target_health::{HealthTransition, HANDSHAKE_TIMEOUT};
use crate::target_table::{RegistrationChange, TargetEntry, TargetTable};
use crate::view::{Member, View};

mod ended;
mod failing;
mod loads;
mod openings;

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
    failing_targets: FailingTargets,
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
            failing_targets: FailingTargets::new(setup.id.clone()),
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
                                self.failing_targets.forget(index);
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
            self.on_opening_packet(segment, packet, now)
        } else {
            self.on_open_flow_packet(segment, now)
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
        self.record_stalled_requests(now);
        for (address, overdue) in self.watch.expire(now, OPENING_RETENTION) {
            self.observe_answer(&address, &overdue, now);
        }
        self.slow_targets.tick(&self.view, &mut self.targets, now);
        self.update_breakers(now);
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

    fn on_open_flow_packet(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
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

/// Returns whether a due health check of a target is made. Without new flows, a few failed checks
/// are enough.
fn is_worth_checking(entry: &TargetEntry) -> bool {
    let has_enough_failures = entry.health().failed_checks() >= MAX_CHECKS_WITHOUT_NEW_FLOWS;
    entry.accepts_new_flows() || (entry.is_reachable() && !has_enough_failures)
}
