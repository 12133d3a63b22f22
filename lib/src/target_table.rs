//! Targets as the flow door with cookies knows them: what they registered and what is believed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::cold_share::ColdCount;
use crate::collections::HashMap;
use crate::cookie::CookieHasher;
use crate::ids::{Cookie, DataCentreId, ServiceId, TargetId};
use crate::route::{Registration, RegistrationState};
use crate::silence::Silence;

/// Time added to what a target says of its coldness, for the way of its registration here.
pub const COLD_MARGIN: Duration = Duration::from_millis(400);

/// A target and what is believed of it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// What it registered last.
    pub registration: Registration,
    /// Number in the packets of its open flows.
    pub cookie: Cookie,
    /// Whether its data centre is taken out, and since when this instance knows.
    pub out_since: Option<Instant>,
    /// End of its cold time.
    pub cold_until: Option<Instant>,
    /// Flows that it got while cold.
    pub cold_count: ColdCount,
    /// Whether it answers.
    silence: Silence,
    /// New flows that this instance has sent to it.
    pub turn: u64,
    is_shadowed: bool,
}

impl TargetEntry {
    /// Returns the judgement whether the target answers.
    pub fn silence(&self) -> &Silence {
        &self.silence
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Tells whether the target may get new flows, silence and coldness apart.
    pub fn takes_new(&self) -> bool {
        self.registration.state == RegistrationState::Ready
            && self.out_since.is_none()
            && !self.is_shadowed
    }

    /// Tells whether packets of open flows may still be sent, `outage_grace` after its data
    /// centre was taken out.
    pub fn carries_open(&self, now: Instant, outage_grace: Duration) -> bool {
        self.out_since.is_none_or(|since| now < since + outage_grace)
    }

    /// Tells whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Makes the target cold for `time` at least.
    pub fn chill(&mut self, now: Instant, time: Duration) {
        self.cold_until = self.cold_until.max(Some(now + time));
    }
}

/// How the registration of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    /// It is new.
    Appeared,
    /// The target started again.
    Restarted,
    /// The target takes new flows again.
    Ready,
    /// The target takes no new flows.
    Draining,
    /// The registration lapsed or was removed.
    Gone,
    /// Something else, such as its cold time.
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

/// All targets that an instance knows. A target keeps its number for as long as it is known.
#[derive(Debug)]
pub struct TargetTable {
    cookies: CookieHasher,
    entries: Vec<TargetEntry>,
    by_id: HashMap<TargetId, usize>,
    by_cookie: HashMap<Cookie, usize>,
    by_service: HashMap<ServiceId, Vec<usize>>,
    /// Targets whose judgement changes with time.
    doubted: BTreeSet<usize>,
}

impl TargetTable {
    /// Creates an empty table.
    pub fn new(cookies: CookieHasher) -> Self {
        Self {
            cookies,
            entries: Vec::new(),
            by_id: HashMap::default(),
            by_cookie: HashMap::default(),
            by_service: HashMap::default(),
            doubted: BTreeSet::new(),
        }
    }

    /// Returns the target of a number.
    pub fn get(&self, index: usize) -> &TargetEntry {
        &self.entries[index]
    }

    /// Returns the target of a number.
    pub fn get_mut(&mut self, index: usize) -> &mut TargetEntry {
        &mut self.entries[index]
    }

    /// Returns the judgement of a target, to change it.
    pub fn silence_mut(&mut self, index: usize) -> &mut Silence {
        self.doubted.insert(index);
        &mut self.entries[index].silence
    }

    /// Returns the targets whose judgement may change with time.
    pub fn doubted(&mut self) -> Vec<usize> {
        let entries = &self.entries;
        self.doubted.retain(|index| !entries[*index].silence.is_at_rest());
        self.doubted.iter().copied().collect()
    }

    /// Returns the number of a target by its name.
    pub fn index(&self, target: &str) -> Option<usize> {
        self.by_id.get(target).copied()
    }

    /// Returns the number of the target that a cookie names.
    pub fn named_by(&self, cookie: Cookie) -> Option<usize> {
        self.by_cookie.get(&cookie).copied()
    }

    /// Returns the numbers of a service's targets.
    pub fn of_service(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the numbers of all targets.
    pub fn indices(&self) -> std::ops::Range<usize> {
        0..self.entries.len()
    }

    /// Takes a registration. A target that started again under its name is a fresh one, and one
    /// that moved to another service gets another cookie. Returns what changed.
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
            if let Some(former) = self.by_service.get_mut(&entry.registration.service) {
                former.retain(|other| *other != index);
            }
            entry.cookie = cookie;
            self.by_service.entry(registration.service.clone()).or_default().push(index);
        }
        if change == RegistrationChange::Restarted {
            entry.silence = Silence::default();
        }
        entry.registration = registration.clone();
        if !registration.cold_left.is_zero() {
            entry.cold_until = Some(now + registration.cold_left + COLD_MARGIN);
        }
        Some(change)
    }

    /// Marks the targets of data centres that are taken out.
    pub fn set_outages(&mut self, is_out: impl Fn(&DataCentreId) -> bool, now: Instant) {
        for entry in &mut self.entries {
            if is_out(&entry.registration.data_centre) {
                entry.out_since.get_or_insert(now);
            } else {
                entry.out_since = None;
            }
        }
    }

    fn insert(&mut self, registration: &Registration, now: Instant) {
        let index = self.entries.len();
        let cookie = self.cookies.cookie(&registration.service, &registration.target);
        let is_shadowed = self.by_cookie.contains_key(&cookie);
        if is_shadowed {
            log::warn!(target = registration.target.as_str(); "target shares its cookie with another one and gets no flows");
        } else {
            self.by_cookie.insert(cookie, index);
        }
        let is_cold = !registration.cold_left.is_zero();
        self.entries.push(TargetEntry {
            registration: registration.clone(),
            cookie,
            out_since: None,
            cold_until: is_cold.then(|| now + registration.cold_left + COLD_MARGIN),
            cold_count: ColdCount::default(),
            silence: Silence::default(),
            turn: 0,
            is_shadowed,
        });
        self.by_id.insert(registration.target.clone(), index);
        self.by_service.entry(registration.service.clone()).or_default().push(index);
    }
}
