//! Flow door for packets that carry their target's cookie: decisions without I/O.
//!
//! Any instance forwards any packet of an open flow by its cookie alone. Only the packet that opens
//! a flow needs a choice of target; copies of it and the packets that follow tell whether the target
//! answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::cold_share::{ranks_first, ColdBound};
use crate::cookie::CookieHasher;
use crate::directory::Directory;
use crate::directory_message::TargetCondition;
use crate::flow::{FlowHasher, FlowKey, Protocol};
use crate::flow_watch::FlowWatch;
use crate::health_check::CheckOutcome;
use crate::ids::{Cookie, DataCentreId, FlowHash, InstanceId, TargetId, TargetToken};
use crate::log_message::CONDITION;
use crate::placement::{choose, Candidate, Trust};
use crate::route::{Part, RecordBody};
use crate::route_table::{Lookup, RouteTable};
use crate::segment::Segment;
use crate::silence::{Finding, ANSWER_TIME};
use crate::target_table::{RegistrationChange, TargetTable};
use crate::view::{Member, View};

/// Time for which an opening is remembered: longer than a caller's last copy takes.
pub const OPENING_TIME: Duration = Duration::from_millis(1_600);
/// Age up to which the routing is current enough to tell a caller that there is no route.
pub const CURRENT_ROUTING: Duration = Duration::from_millis(2_600);
/// Time for which a target that came back is treated as cold beyond its service's cold time.
const RETURN_MARGIN: Duration = Duration::from_millis(300);
/// Part of the bound of an outage that is left for the news to get here and packets to get there.
pub const OUTAGE_MARGIN: Duration = Duration::from_millis(600);
/// Cold time of a service that tells none.
const DEFAULT_COLD_TIME: Duration = Duration::from_secs(2);

/// Why a packet goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The cookie names no target that is known.
    UnknownCookie,
    /// The cookie names a target of a service that the route does not use.
    ForeignCookie,
    /// A packet of an open flow without a cookie.
    NoCookie,
    /// No route is known, but the routing may be out of date.
    RouteInDoubt,
    /// The data centre of the flow's target is taken out.
    Outage,
}

impl DropReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::UnknownCookie => "unknown_cookie",
            DropReason::ForeignCookie => "foreign_cookie",
            DropReason::NoCookie => "no_cookie",
            DropReason::RouteInDoubt => "route_in_doubt",
            DropReason::Outage => "outage",
        }
    }
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// There is no route for the address.
    NoRoute,
    /// The flow's route was removed.
    RouteRemoved,
    /// No target can take the flow.
    NoTarget,
    /// The flow's target is certainly down, and its requests may be repeated elsewhere.
    TargetDown,
}

impl ResetReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no_route",
            ResetReason::RouteRemoved => "route_removed",
            ResetReason::NoTarget => "no_target",
            ResetReason::TargetDown => "target_down",
        }
    }
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CookieVerdict {
    /// Hand it to a target.
    Forward {
        /// Address of the target.
        to: SocketAddr,
        /// Number that tells the target that the packet is meant for it.
        token: TargetToken,
        /// Cookie to write into the packet.
        cookie: Cookie,
        /// Whether the packet opens a flow.
        opens: bool,
    },
    /// Reset the flow.
    Reset(ResetReason),
    /// Drop the packet.
    Drop(DropReason),
}

impl CookieVerdict {
    /// Returns the decision on the flow, by the names that logs use; `None` when the packet only
    /// goes where its flow already is.
    pub fn decision(&self) -> Option<Decision> {
        let (outcome, reason) = match self {
            Self::Forward { opens: false, .. } => return None,
            Self::Forward { opens: true, .. } => ("placed", "opened"),
            Self::Reset(reason) => ("reset", reason.label()),
            Self::Drop(reason) => ("dropped", reason.label()),
        };
        Some(Decision { outcome, reason })
    }
}

/// A decision on a flow, by the names that logs and metrics use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was done.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
}

/// Health check that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Path that is asked for.
    pub path: smol_str::SmolStr,
}

/// Change of a target's condition that other instances should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionChange {
    /// Target.
    pub target: TargetId,
    /// Its condition.
    pub condition: TargetCondition,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
}

/// Settings of the door.
#[derive(Clone, Debug)]
pub struct CookieForwarderSetup {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Key of cookies and of the hash of flows.
    pub flow_key: [u8; 16],
    /// Bound of new flows to a cold target.
    pub cold: ColdBound,
    /// Time after which nothing may be sent to a data centre that was taken out.
    pub outage_bound: Duration,
}

/// Time that a caller's packet shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowTiming {
    /// From a flow's first opening packet to its next packet.
    Opened(Duration),
    /// From a caller's last new data to the first sign of an answer.
    Answered(Duration),
}

/// Flow door for packets with cookies.
pub struct CookieForwarder {
    setup: CookieForwarderSetup,
    hasher: FlowHasher,
    routes: RouteTable,
    targets: TargetTable,
    watch: FlowWatch,
    view: Arc<View>,
    routing_age_from: Option<Instant>,
    changes: Vec<ConditionChange>,
    timings: Vec<FlowTiming>,
    registrations: Vec<(TargetId, RegistrationChange)>,
}

impl CookieForwarder {
    /// Creates a door that knows no routes and no targets.
    pub fn new(setup: CookieForwarderSetup) -> Self {
        Self {
            hasher: FlowHasher::new(setup.flow_key),
            targets: TargetTable::new(CookieHasher::new(setup.flow_key)),
            setup,
            routes: RouteTable::default(),
            watch: FlowWatch::default(),
            view: Arc::default(),
            routing_age_from: None,
            changes: Vec::new(),
            timings: Vec::new(),
            registrations: Vec::new(),
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the targets that are known.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the flows that are watched.
    pub fn watch(&self) -> &FlowWatch {
        &self.watch
    }

    /// Takes the instances that are live.
    pub fn set_view(&mut self, view: Arc<View>) {
        self.view = view;
    }

    /// Takes a part of the directory that changed.
    pub fn update(&mut self, directory: &Directory, part: Part, now: Instant) {
        match part {
            Part::Routing => self.routes.rebuild(directory),
            Part::Targets => {
                for (_, body) in directory.records(Part::Targets) {
                    if let RecordBody::Registration(registration) = body {
                        let change = self.targets.update(registration, now);
                        let target = registration.target.clone();
                        self.registrations.extend(change.map(|change| (target, change)));
                    }
                }
                self.update_outages(directory, now);
            }
            Part::Outages => self.update_outages(directory, now),
        }
    }

    /// Takes the time at which the store last confirmed the routing.
    pub fn set_routing_confirmed(&mut self, at: Option<Instant>) {
        self.routing_age_from = at;
    }

    /// Returns the time since the store last confirmed the routing.
    pub fn routing_age(&self, now: Instant) -> Option<Duration> {
        self.routing_age_from.map(|at| now.saturating_duration_since(at))
    }

    /// Decides on a packet of a caller.
    pub fn on_segment(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
        if segment.control.opens {
            self.open(segment, now)
        } else {
            self.carry(segment, now)
        }
    }

    /// Does what is due, and returns the health checks to make.
    pub fn tick(&mut self, now: Instant) -> Vec<DueCheck> {
        for target in self.watch.take_unanswered(now, ANSWER_TIME) {
            self.targets.silence_mut(target).note_sign(now);
        }
        self.watch.forget(now, OPENING_TIME);
        let mut checks = Vec::new();
        for index in self.targets.doubted() {
            let takes_new = self.targets.get(index).takes_new();
            let silence = self.targets.silence_mut(index);
            silence.expire_hearsay(now);
            if !takes_new || !silence.take_check(now) {
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

    /// Replaces the bounds that the settings tell.
    pub fn set_bounds(&mut self, cold: ColdBound, outage_bound: Duration) {
        self.setup.cold = cold;
        self.setup.outage_bound = outage_bound;
    }

    /// Tells whether any target that takes new flows answers, as far as is known; it is so without
    /// any such target.
    pub fn reaches_any(&self) -> bool {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        let mut takers = targets.filter(|target| target.takes_new()).peekable();
        takers.peek().is_none() || takers.any(|target| !target.silence().is_down())
    }

    /// Returns the number of targets that take new flows and do not answer.
    pub fn count_down(&self) -> usize {
        let targets = self.targets.indices().map(|index| self.targets.get(index));
        targets.filter(|target| target.takes_new() && target.silence().is_down()).count()
    }

    /// Takes the outcome of a health check.
    pub fn on_check(&mut self, target: &str, outcome: CheckOutcome, now: Instant) {
        let Some(index) = self.targets.index(target) else { return };
        let finding = self.targets.silence_mut(index).on_check(outcome, now);
        self.note_finding(index, finding, now, true);
    }

    /// Takes another instance's word on a target. An instance believes those of its own data
    /// centre, which share its paths, and those of the target's, which stand beside it.
    pub fn on_condition(
        &mut self,
        from: &Member,
        target: &str,
        condition: TargetCondition,
        now: Instant,
    ) {
        let Some(index) = self.targets.index(target) else { return };
        let is_witness = self.is_witness(from, target);
        let shares_path = from.data_centre == self.setup.data_centre;
        let home = &self.targets.get(index).registration.data_centre;
        if !shares_path && from.data_centre != *home {
            return;
        }
        let silence = self.targets.silence_mut(index);
        let finding = match condition {
            TargetCondition::Down => silence.hear_down(now),
            TargetCondition::Up => silence.hear_up(),
        };
        if is_witness {
            silence.confirm_hearsay(now);
        }
        self.note_finding(index, finding, now, false);
    }

    /// Tells whether this instance checks what another one says of a target: in each data centre
    /// one instance does, so that a fault of the other one's own is found out.
    fn is_witness(&self, from: &Member, target: &str) -> bool {
        let data_centre = &self.setup.data_centre;
        let members = self.view.members().iter();
        let others = members.filter(|it| it.data_centre == *data_centre && it.id != from.id);
        ranks_first(target, &self.setup.id, others.map(|member| &member.id))
    }

    /// Returns the changes of conditions that other instances should hear of.
    pub fn take_condition_changes(&mut self) -> Vec<ConditionChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the times that packets showed since the last call.
    pub fn take_timings(&mut self) -> Vec<FlowTiming> {
        std::mem::take(&mut self.timings)
    }

    /// Returns the registrations that changed since the last call.
    pub fn take_registrations(&mut self) -> Vec<(TargetId, RegistrationChange)> {
        std::mem::take(&mut self.registrations)
    }

    fn update_outages(&mut self, directory: &Directory, now: Instant) {
        let out: Vec<_> = directory.records(Part::Outages).map(|(name, _)| name.clone()).collect();
        self.targets.set_outages(|data_centre| out.contains(data_centre), now);
    }

    fn open(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
        let service = match self.routes.lookup(&segment.ends.service) {
            Lookup::Route(entry) => entry.service(self.hash(segment)).cloned(),
            Lookup::Removed | Lookup::Unknown => return self.refuse_unknown(now),
        };
        let Some(service) = service else { return CookieVerdict::Reset(ResetReason::NoTarget) };
        let tried = self.watch.opening(&segment.ends).map(|opening| opening.tried.clone());
        let tried = tried.unwrap_or_default();
        if let Some(last) = tried.last() {
            self.targets.silence_mut(*last).note_sign(now);
        }
        let chosen = self.place(&service, &tried, now).or_else(|| self.place(&service, &[], now));
        match chosen {
            Some(index) => self.hand_over(segment, index, now),
            None => CookieVerdict::Reset(ResetReason::NoTarget),
        }
    }

    fn refuse_unknown(&self, now: Instant) -> CookieVerdict {
        let is_current = self.routing_age_from.is_some_and(|at| now < at + CURRENT_ROUTING);
        if is_current {
            CookieVerdict::Reset(ResetReason::NoRoute)
        } else {
            CookieVerdict::Drop(DropReason::RouteInDoubt)
        }
    }

    fn hand_over(&mut self, segment: &Segment, index: usize, now: Instant) -> CookieVerdict {
        self.watch.note_opening(segment.ends, index, now);
        let entry = self.targets.get_mut(index);
        entry.turn += 1;
        if entry.is_cold(now) {
            entry.cold_count.note(now);
        }
        CookieVerdict::Forward {
            to: entry.address(),
            token: entry.registration.token,
            cookie: entry.cookie,
            opens: true,
        }
    }

    fn place(&self, service: &str, tried: &[usize], now: Instant) -> Option<usize> {
        let indices = self.targets.of_service(service).iter().copied();
        let allowed =
            indices.filter(|index| !tried.contains(index) && self.may_take(service, *index, now));
        choose(&self.setup.data_centre, allowed.map(|index| self.candidate(index, now)))
    }

    /// Tells whether a target may get a new flow; a cold one may within this instance's share.
    fn may_take(&self, service: &str, index: usize, now: Instant) -> bool {
        let entry = self.targets.get(index);
        if !entry.takes_new() {
            return false;
        }
        if !entry.is_cold(now) {
            return true;
        }
        let borne = self.routes.service(service).map_or(0, |service| service.cold_flows_per_second);
        let members = self.view.members().iter().map(|member| &member.id);
        ranks_first(&entry.registration.target, &self.setup.id, members)
            && entry.cold_count.has_room(self.setup.cold.share(borne), now)
    }

    fn candidate(&self, index: usize, now: Instant) -> Candidate<'_> {
        let entry = self.targets.get(index);
        let trust = if entry.silence().is_down() {
            Trust::None
        } else if entry.silence().is_trusted(now) {
            Trust::Full
        } else {
            Trust::Doubtful
        };
        let slots = entry.registration.slots.max(1);
        let load = self.watch.running(index).saturating_mul(1_000) / slots;
        let data_centre = &entry.registration.data_centre;
        Candidate { index, data_centre, trust, load, turn: entry.turn }
    }

    fn carry(&mut self, segment: &Segment, now: Instant) -> CookieVerdict {
        if segment.cookie == 0 {
            return CookieVerdict::Drop(DropReason::NoCookie);
        }
        let entry = match self.routes.lookup(&segment.ends.service) {
            Lookup::Route(entry) => entry,
            Lookup::Removed => return CookieVerdict::Reset(ResetReason::RouteRemoved),
            Lookup::Unknown => return CookieVerdict::Drop(DropReason::RouteInDoubt),
        };
        let Some(index) = self.targets.named_by(segment.cookie) else {
            return CookieVerdict::Drop(DropReason::UnknownCookie);
        };
        let target = self.targets.get(index);
        if !entry.may_use(&target.registration.service) {
            return CookieVerdict::Drop(DropReason::ForeignCookie);
        }
        let outage_grace = self.setup.outage_bound.saturating_sub(OUTAGE_MARGIN);
        if !target.carries_open(now, outage_grace) {
            return CookieVerdict::Drop(DropReason::Outage);
        }
        if segment.data_len > 0 && entry.route.is_idempotent && target.silence().is_certainly_down()
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
        let seen = self.watch.note_segment(segment, index, now);
        self.timings.extend(seen.open_time.map(FlowTiming::Opened));
        self.timings.extend(seen.answer_time.map(FlowTiming::Answered));
        if seen.is_progress && !self.targets.get(index).silence().is_clean() {
            let finding = self.targets.silence_mut(index).note_progress();
            self.note_finding(index, finding, now, true);
        } else if seen.is_repeat && !seen.is_progress {
            let silence = self.targets.silence_mut(index);
            silence.note_sign(now);
            silence.confirm_hearsay(now);
        }
        verdict
    }

    fn note_finding(&mut self, index: usize, finding: Finding, now: Instant, is_own: bool) {
        let entry = self.targets.get(index);
        let service = self.routes.service(&entry.registration.service);
        let cold_time = service.map_or(DEFAULT_COLD_TIME, |service| service.cold_time);
        let entry = self.targets.get_mut(index);
        let condition = match finding {
            Finding::Nothing => return,
            Finding::WentDown | Finding::Confirmed => TargetCondition::Down,
            Finding::CameBack => {
                entry.chill(now, cold_time + RETURN_MARGIN);
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
            self.changes.push(ConditionChange { target, condition, data_centre });
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
