//! Targets that the packet forwarder knows: their registrations, their health, and their cold
//! start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::circuit_breaker::BreakerState;
use crate::cold_start_limit::ColdFlowCounter;
use crate::collections::HashMap;
use crate::cookie::CookieHasher;
use crate::ended_target::RESTART_DOUBT;
use crate::ids::{Cookie, DataCentreId, InstanceId, ServiceId, TargetId};
use crate::round_robin::{self, RoundRobin};
use crate::route::{Registration, RegistrationState};
use crate::target_health::TargetHealth;
use crate::target_weight::WeightClass;

/// Time added to the remaining cold start that a target registers, since the registration takes a
/// while to reach this instance.
pub const COLD_START_MARGIN: Duration = Duration::from_millis(400);

/// Target with its registration and the state that this instance keeps for it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Latest registration of the target.
    pub registration: Registration,
    /// Cookie that the packets of the target's open flows carry.
    pub cookie: Cookie,
    /// Time at which this instance learned that the target's data centre is out of service; `None`
    /// while the data centre is in service.
    pub out_of_service_since: Option<Instant>,
    /// End of the time during which the target is treated as cold; `None` if it never was.
    pub cold_until: Option<Instant>,
    /// Recent new flows that this instance sent to the target while it was cold.
    pub cold_flow_counter: ColdFlowCounter,
    health: TargetHealth,
    /// Round after the one in which the target last got a new flow; see [`crate::round_robin`].
    pub round: u64,
    /// Position of the target within a round.
    pub position: u64,
    /// Weight of the target among those of its service.
    weight: WeightClass,
    /// State of the target's circuit breaker.
    breaker: BreakerState,
    /// Recent new flows that this instance sent to the target on trial.
    pub trial_flow_counter: ColdFlowCounter,
    /// Whether the target's address belongs to a target that started later, which shows that this
    /// one has ended.
    pub has_ended: bool,
    /// Time before which the target certainly had not started again under its name; `None` unless it
    /// did.
    pub restarted_after: Option<Instant>,
    /// Whether another target already had the cookie when this one was inserted.
    has_cookie_collision: bool,
}

impl TargetEntry {
    /// Returns the health of the target.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Returns the weight of the target among those of its service.
    pub fn weight(&self) -> WeightClass {
        self.weight
    }

    /// Returns the state of the target's circuit breaker.
    pub fn breaker(&self) -> BreakerState {
        self.breaker
    }

    /// Returns the registered address of the target.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Returns whether the target may get new flows, regardless of its health and of whether it is
    /// cold.
    pub fn accepts_new_flows(&self) -> bool {
        self.registration.state == RegistrationState::Ready && self.is_reachable()
    }

    /// Returns whether packets may be sent to the target, whatever the state of its registration:
    /// its data centre is in service, it has not ended, and its cookie is its own.
    pub fn is_reachable(&self) -> bool {
        self.out_of_service_since.is_none() && !self.has_ended && !self.has_cookie_collision
    }

    /// Returns whether packets of open flows may still be sent to the target: while its data centre
    /// is in service, and for `outage_grace` after that.
    pub fn carries_open(&self, now: Instant, outage_grace: Duration) -> bool {
        self.out_of_service_since.is_none_or(|since| now < since + outage_grace)
    }

    /// Returns whether the target is treated as cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Treats the target as cold until at least `time` from `now`.
    pub fn mark_cold(&mut self, now: Instant, time: Duration) {
        self.cold_until = self.cold_until.max(Some(now + time));
    }
}

/// How the registration of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    /// The target registered for the first time.
    Appeared,
    /// The target has another start time or address than before.
    Restarted,
    /// The target accepts new flows again.
    Ready,
    /// The target accepts no new flows and finishes its open ones.
    Draining,
    /// The registration expired or was removed.
    Gone,
    /// Another field changed, such as the remaining cold start.
    Other,
}

impl RegistrationChange {
    /// Returns the name of the change in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Appeared => "appeared",
            Self::Restarted => "restarted",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Other => "other",
        }
    }

    fn between(old: &Registration, new: &Registration) -> Self {
        if old.started != new.started || old.address != new.address {
            return Self::Restarted;
        }
        match new.state {
            state if state == old.state => Self::Other,
            RegistrationState::Ready => Self::Ready,
            RegistrationState::Draining => Self::Draining,
            RegistrationState::Gone => Self::Gone,
        }
    }
}

/// All targets that an instance knows. Targets are never removed, so that an index stays valid.
#[derive(Debug)]
pub struct TargetTable {
    instance: InstanceId,
    cookies: CookieHasher,
    entries: Vec<TargetEntry>,
    by_id: HashMap<TargetId, usize>,
    by_cookie: HashMap<Cookie, usize>,
    by_service: HashMap<ServiceId, Vec<usize>>,
    /// Target that started last at each address.
    by_address: HashMap<SocketAddr, usize>,
    rounds: HashMap<ServiceId, HashMap<DataCentreId, RoundRobin>>,
    /// Targets whose circuit breakers are half-open.
    on_trial: BTreeSet<usize>,
    /// Targets whose health may change with time.
    unsettled: BTreeSet<usize>,
    /// Targets that have ended since the last call of [`TargetTable::take_ended`].
    ended: Vec<usize>,
    /// Time at which the store last confirmed the registrations; `None` if it never has.
    confirmed_at: Option<Instant>,
    /// Unix time at an instant, by this instance's clock.
    unix_time: Option<(Instant, Duration)>,
}

impl TargetTable {
    /// Creates an empty table of an instance.
    pub fn new(instance: InstanceId, cookies: CookieHasher) -> Self {
        Self {
            instance,
            cookies,
            entries: Vec::new(),
            by_id: HashMap::default(),
            by_cookie: HashMap::default(),
            by_service: HashMap::default(),
            by_address: HashMap::default(),
            rounds: HashMap::default(),
            on_trial: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            ended: Vec::new(),
            confirmed_at: None,
            unix_time: None,
        }
    }

    /// Returns the target at an index.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn get(&self, index: usize) -> &TargetEntry {
        &self.entries[index]
    }

    /// Returns the target at an index, for modification.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn get_mut(&mut self, index: usize) -> &mut TargetEntry {
        &mut self.entries[index]
    }

    /// Returns the health of a target, for modification. The target counts as unsettled until
    /// [`Self::unsettled`] finds that its health no longer changes with time.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn health_mut(&mut self, index: usize) -> &mut TargetHealth {
        self.unsettled.insert(index);
        &mut self.entries[index].health
    }

    /// Returns the indices of the targets whose health may change with time.
    pub fn unsettled(&mut self) -> Vec<usize> {
        let entries = &self.entries;
        self.unsettled.retain(|index| !entries[*index].health.is_settled());
        self.unsettled.iter().copied().collect()
    }

    /// Returns the index of the target with a name.
    pub fn index(&self, target: &str) -> Option<usize> {
        self.by_id.get(target).copied()
    }

    /// Returns the index of the target with a cookie.
    pub fn index_by_cookie(&self, cookie: Cookie) -> Option<usize> {
        self.by_cookie.get(&cookie).copied()
    }

    /// Returns the indices of a service's targets.
    pub fn indices_by_service(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the services that have or had targets, each with the indices of its targets.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &[usize])> {
        self.by_service.iter().map(|(service, indices)| (service, indices.as_slice()))
    }

    /// Returns the round-robin state of a service's targets in a data centre.
    pub fn rounds(&self, service: &str, data_centre: &str) -> RoundRobin {
        let rounds = self.rounds.get(service).and_then(|rounds| rounds.get(data_centre));
        rounds.copied().unwrap_or_default()
    }

    /// Records that a target gets a new flow.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn record_chosen(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let Registration { service, data_centre, .. } = &entry.registration;
        let rounds = self.rounds.entry(service.clone()).or_default();
        let rounds = rounds.entry(data_centre.clone()).or_default();
        entry.round = rounds.record_spaced(entry.round, entry.weight.divisor().into());
    }

    /// Sets the weight of a target.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn set_weight(&mut self, index: usize, weight: WeightClass) {
        let Registration { service, data_centre, .. } = &self.entries[index].registration;
        let rounds = self.rounds(service, data_centre);
        let entry = &mut self.entries[index];
        if entry.weight != weight {
            let (old, new) = (entry.weight.divisor().into(), weight.divisor().into());
            entry.round = rounds.respaced(entry.round, entry.position, old, new);
            entry.weight = weight;
        }
    }

    /// Sets the state of a target's circuit breaker.
    ///
    /// # Panics
    ///
    /// Panics if no target has the index.
    pub fn set_breaker(&mut self, index: usize, state: BreakerState) {
        self.entries[index].breaker = state;
        if state == BreakerState::HalfOpen {
            self.on_trial.insert(index);
        } else {
            self.on_trial.remove(&index);
        }
    }

    /// Returns the targets whose circuit breakers are half-open.
    pub fn on_trial(&self) -> &BTreeSet<usize> {
        &self.on_trial
    }

    /// Sets the time at which the store last confirmed the registrations in the table.
    pub fn set_confirmed(&mut self, at: Option<Instant>) {
        self.confirmed_at = at;
    }

    /// Sets the Unix time at `now`.
    pub fn set_unix_time(&mut self, now: Instant, unix_time: Duration) {
        self.unix_time = Some((now, unix_time));
    }

    /// Returns the targets whose address was reassigned, or that started again under their name,
    /// since the last call.
    pub fn take_ended(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the indices of all targets.
    pub fn indices(&self) -> std::ops::Range<usize> {
        0..self.entries.len()
    }

    /// Inserts or updates a target from its registration, and returns how the registration changed,
    /// or `None` if it did not. The health of a restarted target is reset, and a target that moved
    /// to another service gets a new cookie.
    pub fn update(
        &mut self,
        registration: &Registration,
        now: Instant,
    ) -> Option<RegistrationChange> {
        let Some(index) = self.index(&registration.target) else {
            self.insert(registration, now);
            return Some(RegistrationChange::Appeared);
        };
        if self.entries[index].registration == *registration {
            return None;
        }
        let entry = &mut self.entries[index];
        let change = RegistrationChange::between(&entry.registration, registration);
        if entry.registration.service != registration.service {
            let cookie = self.cookies.cookie(&registration.service, &registration.target);
            self.by_cookie.remove(&entry.cookie);
            self.by_cookie.insert(cookie, index);
            if let Some(previous) = self.by_service.get_mut(&entry.registration.service) {
                previous.retain(|other| *other != index);
            }
            entry.cookie = cookie;
            self.by_service.entry(registration.service.clone()).or_default().push(index);
        }
        let former = &entry.registration;
        if former.service != registration.service || former.data_centre != registration.data_centre
        {
            entry.round = 0;
        }
        if change == RegistrationChange::Restarted {
            entry.health = TargetHealth::default();
            entry.has_ended = false;
            let former = entry.registration.started;
            if former > 0 && registration.started > former {
                let times = self.confirmed_at.zip(instant_at(self.unix_time, registration.started));
                let earlier = times.map(|(confirmed_at, started_at)| confirmed_at.min(started_at));
                entry.restarted_after = earlier.and_then(|at| at.checked_sub(RESTART_DOUBT));
                self.ended.push(index);
            }
        }
        entry.registration = registration.clone();
        if !registration.cold_left.is_zero() {
            entry.cold_until = Some(now + registration.cold_left + COLD_START_MARGIN);
        }
        self.assign_address(index);
        Some(change)
    }

    /// Marks the targets in data centres that are out of service, and clears the mark of all
    /// others.
    pub fn set_outages(&mut self, is_out_of_service: impl Fn(&DataCentreId) -> bool, now: Instant) {
        for entry in &mut self.entries {
            if is_out_of_service(&entry.registration.data_centre) {
                entry.out_of_service_since.get_or_insert(now);
            } else {
                entry.out_of_service_since = None;
            }
        }
    }

    /// Returns whether a data centre with known targets is out of service.
    pub fn is_out_of_service(&self, data_centre: &str) -> bool {
        let mut entries = self.entries.iter();
        let found = entries.find(|entry| entry.registration.data_centre == data_centre);
        found.is_some_and(|entry| entry.out_of_service_since.is_some())
    }

    fn insert(&mut self, registration: &Registration, now: Instant) {
        let index = self.entries.len();
        let cookie = self.cookies.cookie(&registration.service, &registration.target);
        let has_cookie_collision = self.by_cookie.contains_key(&cookie);
        if has_cookie_collision {
            log::warn!(target = registration.target.as_str(); "cookie of the target collides with that of another target; it gets no new flows");
        } else {
            self.by_cookie.insert(cookie, index);
        }
        let is_cold = !registration.cold_left.is_zero();
        self.entries.push(TargetEntry {
            registration: registration.clone(),
            cookie,
            out_of_service_since: None,
            cold_until: is_cold.then(|| now + registration.cold_left + COLD_START_MARGIN),
            cold_flow_counter: ColdFlowCounter::default(),
            health: TargetHealth::default(),
            round: 0,
            position: round_robin::position(&self.instance, &registration.target),
            weight: WeightClass::Full,
            breaker: BreakerState::Closed,
            trial_flow_counter: ColdFlowCounter::default(),
            has_ended: false,
            restarted_after: None,
            has_cookie_collision,
        });
        self.by_id.insert(registration.target.clone(), index);
        self.by_service.entry(registration.service.clone()).or_default().push(index);
        self.assign_address(index);
    }

    /// Assigns the address of a target to the one that started last of this target and the one that
    /// has the address now. The other one has ended.
    fn assign_address(&mut self, index: usize) {
        let address = self.entries[index].address();
        let is_gone = self.entries[index].registration.state == RegistrationState::Gone;
        let started = |entry: &TargetEntry| entry.registration.started;
        let holder = self.by_address.get(&address).copied().filter(|other| {
            let other = &self.entries[*other];
            other.address() == address && started(other) > started(&self.entries[index])
        });
        let earlier = match holder {
            Some(_) => Some(index),
            // What is gone cannot show that the present target of the address has ended.
            None if is_gone => None,
            None => self
                .by_address
                .insert(address, index)
                .filter(|other| *other != index && self.entries[*other].address() == address),
        };
        if let Some(earlier) = earlier {
            let was_known = std::mem::replace(&mut self.entries[earlier].has_ended, true);
            self.ended.extend((!was_known).then_some(earlier));
        }
    }
}

/// Returns the instant of a Unix time in milliseconds that has passed by this instance's clock;
/// `None` if it has not, or the clock is unknown.
fn instant_at(unix_time: Option<(Instant, Duration)>, unix_ms: u64) -> Option<Instant> {
    let (now, unix_now) = unix_time?;
    let since = unix_now.checked_sub(Duration::from_millis(unix_ms))?;
    now.checked_sub(since)
}
