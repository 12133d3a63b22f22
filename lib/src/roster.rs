//! Table of the members that one instance knows, and the rules by which records replace others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::grant::OPEN_FLOW_LIFETIME;
use crate::ids::{DataCentreId, InstanceId};
use crate::platform::ListedInstance;
use crate::view::{Member, MemberState};

/// Time from a suspicion to death among at most [`SMALL_REGION`] members.
pub const SUSPICION: Duration = Duration::from_millis(900);
/// Time after which a dead member is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Number of members up to which a suspicion lasts for [`SUSPICION`].
pub const SMALL_REGION: usize = 8;

#[derive(Debug)]
struct Entry {
    member: Member,
    since: Instant,
}

/// An instance that may be running, and hold grants.
#[derive(Debug)]
struct Expected {
    data_centre: DataCentreId,
    until: Option<Instant>,
}

/// Members that one instance knows, itself excepted.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    expected: BTreeMap<InstanceId, Expected>,
    is_changed: bool,
}

impl Roster {
    /// Returns what is known of an instance.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.entries.get(id).map(|entry| &entry.member)
    }

    /// Returns the members that are not dead, ordered by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let all = self.entries.values().map(|entry| &entry.member);
        all.filter(|member| member.state != MemberState::Dead)
    }

    /// Returns members after a name, in the order of names.
    pub fn after(&self, id: &str) -> impl Iterator<Item = &Member> {
        let from = (std::ops::Bound::Excluded(InstanceId::new(id)), std::ops::Bound::Unbounded);
        self.entries.range(from).map(|(_, entry)| &entry.member)
    }

    /// Takes a record when it is newer than the known one, and tells whether it was.
    pub fn merge(&mut self, member: &Member, now: Instant) -> bool {
        let known = self.entries.get(&member.id);
        if known.is_some_and(|known| precedence(&known.member) >= precedence(member)) {
            return false;
        }
        if known.is_none() && member.state == MemberState::Dead {
            return false;
        }
        self.expect(member, now);
        self.put(member.clone(), now);
        true
    }

    fn put(&mut self, member: Member, now: Instant) {
        self.suspects.remove(&member.id);
        self.dead.remove(&member.id);
        match member.state {
            MemberState::Suspect => self.suspects.insert(member.id.clone()),
            MemberState::Dead => self.dead.insert(member.id.clone()),
            MemberState::Alive | MemberState::Leaving => false,
        };
        self.is_changed = true;
        self.entries.insert(member.id.clone(), Entry { member, since: now });
    }

    /// Tells whether a record changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Returns the number of members that are not dead.
    pub fn live_count(&self) -> usize {
        self.entries.len() - self.dead.len()
    }

    /// Returns the dead members that are not yet forgotten, ordered by name.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.dead.iter().filter_map(|id| self.get(id))
    }

    /// Expects a member until it has left, and its grants must have expired.
    fn expect(&mut self, member: &Member, now: Instant) {
        let until = match member.state {
            MemberState::Alive | MemberState::Suspect => None,
            MemberState::Leaving => Some(now + OPEN_FLOW_LIFETIME),
            MemberState::Dead => return,
        };
        let known = self.expected.get(&member.id);
        if until.is_some() && known.is_some_and(|known| known.until.is_some()) {
            return;
        }
        let data_centre = member.data_centre.clone();
        self.expected.insert(member.id.clone(), Expected { data_centre, until });
    }

    /// Sets the state of a member, and returns its record when that changed it.
    pub fn set_state(&mut self, id: &str, state: MemberState, now: Instant) -> Option<Member> {
        let mut member = self.get(id)?.clone();
        if rank(member.state) >= rank(state) {
            return None;
        }
        member.state = state;
        self.put(member.clone(), now);
        Some(member)
    }

    /// Returns the members whose suspicion has timed out.
    pub fn overdue(&self, now: Instant) -> Vec<InstanceId> {
        let wait = suspicion_time(self.entries.len());
        let is_overdue =
            |id: &&InstanceId| self.entries.get(*id).is_some_and(|entry| now >= entry.since + wait);
        self.suspects.iter().filter(is_overdue).cloned().collect()
    }

    /// Starts all suspicions again.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for id in &self.suspects {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.since = now;
            }
        }
    }

    /// Forgets members that have been dead for long.
    pub fn forget(&mut self, now: Instant) {
        let entries = &mut self.entries;
        self.dead.retain(|id| {
            let is_kept = entries.get(id).is_some_and(|entry| now < entry.since + FORGET_AFTER);
            if !is_kept {
                entries.remove(id);
            }
            is_kept
        });
    }

    /// Takes the platform's list: what it lacks and no one hears is expected no longer.
    pub fn reconcile(&mut self, listed: &[ListedInstance]) {
        if listed.is_empty() {
            return;
        }
        let entries = &self.entries;
        self.expected.retain(|id, expected| {
            let is_heard = entries.get(id).is_some_and(|entry| entry.member.is_eligible());
            is_heard || expected.until.is_some()
        });
        for instance in listed.iter().filter(|instance| !instance.leaving) {
            let data_centre = instance.data_centre.clone();
            let expected = Expected { data_centre, until: None };
            self.expected.entry(instance.name.clone()).or_insert(expected);
        }
    }

    /// Returns the number of other instances of a data centre that may be running, whether they
    /// are heard or not.
    pub fn expected_in(&self, data_centre: &str, now: Instant) -> usize {
        let is_there = |expected: &&Expected| {
            expected.data_centre == data_centre && expected.until.is_none_or(|until| now < until)
        };
        self.expected.values().filter(is_there).count()
    }
}

/// Returns the time from a suspicion to death.
fn suspicion_time(members: usize) -> Duration {
    let scale = (members.max(SMALL_REGION) as f64).log2() / (SMALL_REGION as f64).log2();
    SUSPICION.mul_f64(scale)
}

fn precedence(member: &Member) -> (u64, u64, u8) {
    (member.epoch, member.incarnation, rank(member.state))
}

fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}
