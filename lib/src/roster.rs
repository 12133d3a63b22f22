//! Table of the other members of a region, and the rules by which a newer record replaces an older
//! one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::grant::OPEN_FLOW_LIFETIME;
use crate::ids::{DataCentreId, InstanceId};
use crate::platform::ListedInstance;
use crate::view::{Member, MemberState};

/// Time from the suspicion of a member to its death among at most [`SMALL_REGION_MEMBERS`] members.
///
/// The timeout grows with the logarithm of the number of members above that, as an update takes
/// longer to reach all of them.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which the record of a dead member is removed.
pub const DEAD_RETENTION: Duration = Duration::from_secs(60);
/// Number of members up to which the suspicion timeout is [`SUSPICION_TIMEOUT`].
pub const SMALL_REGION_MEMBERS: usize = 8;

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Time of the last change of the record, or the restart of its suspicion.
    since: Instant,
}

/// Instance that may be running and hold grants.
#[derive(Debug)]
struct Expected {
    data_centre: DataCentreId,
    /// Time at which the grants of a leaving instance have expired; `None` for one that is not
    /// leaving.
    until: Option<Instant>,
}

/// Records of the other members, without the local instance.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    expected: BTreeMap<InstanceId, Expected>,
    is_changed: bool,
}

impl Roster {
    /// Returns the record of an instance, whatever its state.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.entries.get(id).map(|entry| &entry.member)
    }

    /// Returns the members that are not dead, ordered by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let all = self.entries.values().map(|entry| &entry.member);
        all.filter(|member| member.state != MemberState::Dead)
    }

    /// Returns the members, including dead ones, whose names are greater than `id`, ordered by name.
    pub fn members_after(&self, id: &str) -> impl Iterator<Item = &Member> {
        let from = (std::ops::Bound::Excluded(InstanceId::new(id)), std::ops::Bound::Unbounded);
        self.entries.range(from).map(|(_, entry)| &entry.member)
    }

    /// Inserts a record if it is newer than the existing one, and returns whether it did.
    ///
    /// Ignores the death of an unknown member.
    pub fn merge(&mut self, member: &Member, now: Instant) -> bool {
        let known = self.entries.get(&member.id);
        if known.is_some_and(|known| record_version(&known.member) >= record_version(member)) {
            return false;
        }
        if known.is_none() && member.state == MemberState::Dead {
            return false;
        }
        self.track_expected(member, now);
        self.insert_member(member.clone(), now);
        true
    }

    fn insert_member(&mut self, member: Member, now: Instant) {
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

    /// Returns whether a record has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Returns the number of members that are not dead.
    pub fn live_count(&self) -> usize {
        self.entries.len() - self.dead.len()
    }

    /// Returns the dead members that have not been removed yet, ordered by name.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.dead.iter().filter_map(|id| self.get(id))
    }

    /// Tracks an instance as expected: without a limit while it runs, and until its grants have
    /// expired once it leaves.
    fn track_expected(&mut self, member: &Member, now: Instant) {
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

    /// Sets the state of a member, and returns its changed record.
    ///
    /// Returns `None` for an unknown member, or if its state already ranks at least as high.
    pub fn set_state(&mut self, id: &str, state: MemberState, now: Instant) -> Option<Member> {
        let mut member = self.get(id)?.clone();
        if state_rank(member.state) >= state_rank(state) {
            return None;
        }
        member.state = state;
        self.insert_member(member.clone(), now);
        Some(member)
    }

    /// Returns the suspected members whose suspicion has timed out.
    pub fn expired_suspicions(&self, now: Instant) -> Vec<InstanceId> {
        let wait = suspicion_timeout(self.entries.len());
        let is_overdue =
            |id: &&InstanceId| self.entries.get(*id).is_some_and(|entry| now >= entry.since + wait);
        self.suspects.iter().filter(is_overdue).cloned().collect()
    }

    /// Restarts the timeouts of all suspicions.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for id in &self.suspects {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.since = now;
            }
        }
    }

    /// Removes the members that have been dead for [`DEAD_RETENTION`].
    pub fn remove_expired(&mut self, now: Instant) {
        let entries = &mut self.entries;
        self.dead.retain(|id| {
            let is_kept = entries.get(id).is_some_and(|entry| now < entry.since + DEAD_RETENTION);
            if !is_kept {
                entries.remove(id);
            }
            is_kept
        });
    }

    /// Updates the expected instances from the platform's instance list.
    ///
    /// Stops expecting instances that are neither on the list nor live, and expects those on the
    /// list that are not leaving. A leaving instance stays expected until its grants have expired.
    /// Ignores an empty list.
    pub fn reconcile(&mut self, listed: &[ListedInstance]) {
        if listed.is_empty() {
            return;
        }
        let entries = &self.entries;
        self.expected.retain(|id, expected| {
            let is_live = entries.get(id).is_some_and(|entry| entry.member.is_eligible());
            is_live || expected.until.is_some()
        });
        for instance in listed.iter().filter(|instance| !instance.leaving) {
            let data_centre = instance.data_centre.clone();
            let expected = Expected { data_centre, until: None };
            self.expected.entry(instance.name.clone()).or_insert(expected);
        }
    }

    /// Returns the number of other instances of a data centre that may be running, including
    /// unresponsive ones.
    pub fn expected_in(&self, data_centre: &str, now: Instant) -> usize {
        let is_there = |expected: &&Expected| {
            expected.data_centre == data_centre && expected.until.is_none_or(|until| now < until)
        };
        self.expected.values().filter(is_there).count()
    }
}

fn suspicion_timeout(members: usize) -> Duration {
    let scale =
        (members.max(SMALL_REGION_MEMBERS) as f64).log2() / (SMALL_REGION_MEMBERS as f64).log2();
    SUSPICION_TIMEOUT.mul_f64(scale)
}

/// Returns the key by which the newer of two records of the same member is chosen.
fn record_version(member: &Member) -> (u64, u64, u8) {
    (member.epoch, member.incarnation, state_rank(member.state))
}

fn state_rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}
