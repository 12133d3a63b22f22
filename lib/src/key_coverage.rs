//! Coverage of idempotency keys: whether an instance may run requests with keys, and whether its
//! records are complete, so that the absence of a record proves that a key was not used within the
//! retention period.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{DataCentreId, InstanceId};
use crate::key_ledger::RETENTION;
use crate::view::{MemberState, View};

/// Time without a tick after which an instance assumes that its process was suspended.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Time that an instance waits after its start or after a suspension before it runs requests with
/// keys, so that it has received the membership changes that it missed.
pub const REJOIN_TIME: Duration = Duration::from_secs(2);

/// Number of instances that record each key: its owner and one witness. The records of a key may be
/// lost once this many instances have failed.
const RECORDS_PER_KEY: usize = 2;

/// State from which the coverage of one instance is derived: its start, its last tick, and the
/// members of its data centre that have failed.
#[derive(Debug)]
pub struct KeyCoverage {
    data_centre: DataCentreId,
    started: Instant,
    failed: BTreeMap<InstanceId, Instant>,
    member_count: usize,
    last_tick: Instant,
    pause_until: Option<Instant>,
}

impl KeyCoverage {
    /// Creates the coverage of an instance that starts at `now`.
    pub fn new(data_centre: DataCentreId, now: Instant) -> Self {
        Self {
            data_centre,
            started: now,
            failed: BTreeMap::new(),
            member_count: 1,
            last_tick: now,
            pause_until: Some(now + REJOIN_TIME),
        }
    }

    /// Records the members of the data centre that disappeared between two views without having
    /// announced that they were leaving. An announced leave loses no keys, since the instance
    /// transfers its keys before it stops.
    pub fn note_view(&mut self, now: Instant, before: &View, after: &View) {
        let is_local = |it: &&crate::view::Member| it.data_centre == self.data_centre;
        for member in before.members().iter().filter(is_local) {
            if member.state != MemberState::Leaving && after.get(&member.id).is_none() {
                self.failed.insert(member.id.clone(), now);
            }
        }
        self.failed.retain(|id, at| after.get(id).is_none() && now < *at + RETENTION);
        self.member_count = after.members().iter().filter(is_local).count();
    }

    /// Records that the instance is running. After a gap of more than [`MAX_TICK_GAP`] it runs no
    /// requests with keys for [`REJOIN_TIME`].
    pub fn tick(&mut self, now: Instant) {
        if now > self.last_tick + MAX_TICK_GAP {
            self.pause_until = Some(now + REJOIN_TIME);
        }
        self.last_tick = now;
    }

    /// Returns whether requests with keys may run at this instance. They may not run for
    /// [`REJOIN_TIME`] after a start or a suspension, nor while more members have failed than
    /// remain, since the instance may then be on the minority side of a network partition.
    pub fn may_run(&self, now: Instant) -> bool {
        let is_paused = self.pause_until.is_some_and(|until| now < until);
        let was_suspended = now > self.last_tick + MAX_TICK_GAP;
        let failed = self.failed.values().filter(|at| now < **at + RETENTION).count();
        !is_paused && !was_suspended && self.member_count >= failed
    }

    /// Returns whether a key without a record here was certainly not used within the retention
    /// period: the instance has run for the complete period, and during it fewer members have
    /// failed than hold a record of each key.
    pub fn is_complete(&self, now: Instant) -> bool {
        let failed = self.failed.values().filter(|at| now < **at + RETENTION).count();
        now >= self.started + RETENTION && failed < RECORDS_PER_KEY
    }
}
