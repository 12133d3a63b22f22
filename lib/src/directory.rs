//! Local replica of the directory: routes, targets and outages.
//!
//! Each record carries the version of the platform's object store at which it changed. The record
//! with the highest version wins, whichever instance it comes from, so that a record never reverts
//! to an older state. Each part tracks the version up to which it is complete.
//!
//! The store may be restored from an older copy, which begins a new era (see
//! [`crate::store_version`]). The copy lacks the latest changes until their authors write them again.
//! For [`ERA_SETTLE_TIME`], a listing of the new era therefore adds records that this replica has
//! never had, and neither removes nor replaces any; changes that a watch returns are merged as
//! always. A routing document never yields to one with a lower document version.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::collections::HashSet;
use crate::ids::Version;
use crate::route::{
    is_older_document, is_removed, DirectoryRecord, Part, RecordBody, RegistrationState,
    ROUTING_VERSION_RECORD,
};
use crate::store_version::{self, Era};

/// Time for which tombstones of removed records are kept. It exceeds the lifetime of any flow, so
/// that packets of flows opened before the removal can still be forwarded to the removed target.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Time after an outage or a restore of the store in which a listing is no proof that a record is
/// gone, because live targets and the operator write again what it lacks.
pub const ERA_SETTLE_TIME: Duration = Duration::from_millis(2_300);

#[derive(Debug)]
struct StoredRecord {
    version: Version,
    body: Option<RecordBody>,
    removed_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct PartState {
    records: BTreeMap<SmolStr, StoredRecord>,
    complete_version: Version,
    /// Lowest version after which every removal is known.
    history_start: Version,
    /// Highest version of any record ever merged, including purged tombstones.
    newest_version: Version,
    confirmed_at: Option<Instant>,
    /// Time at which the part was first confirmed in its current era; `None` in the first era that
    /// this replica has seen.
    era_began: Option<Instant>,
}

/// This instance's replica of the directory: the routes, the registrations of targets, and the
/// outages of data centres.
#[derive(Debug, Default)]
pub struct Directory {
    parts: [PartState; Part::ALL.len()],
}

impl Directory {
    /// Returns the store version up to which a part is complete, or 0 before its first listing.
    pub fn complete_version(&self, part: Part) -> Version {
        self.parts[part as usize].complete_version
    }

    /// Returns the versions up to which the parts are complete, in the order of [`Part::ALL`].
    pub fn complete_versions(&self) -> [Version; Part::ALL.len()] {
        Part::ALL.map(|part| self.complete_version(part))
    }

    /// Returns whether every part has been listed at least once.
    pub fn is_complete(&self) -> bool {
        Part::ALL.iter().all(|part| self.complete_version(*part) > 0)
    }

    /// Returns the latest era of any part, or `None` before the first listing.
    pub fn era(&self) -> Option<Era> {
        let complete = self.complete_versions().into_iter().filter(|version| *version > 0);
        complete.map(store_version::era).max()
    }

    /// Returns whether a listing of a part at `version` is settled: it proves that records which it
    /// lacks are gone, and that those which it has are current.
    pub fn is_settled(&self, part: Part, version: Version, now: Instant) -> bool {
        let part = &self.parts[part as usize];
        let known_era = store_version::era(part.complete_version);
        if part.complete_version == 0 {
            return true;
        }
        let is_new_era = store_version::era(version) > known_era;
        !is_new_era && part.era_began.is_none_or(|began| now >= began + ERA_SETTLE_TIME)
    }

    /// Returns whether the store was restored since this replica first listed it.
    pub fn has_changed_era(&self) -> bool {
        self.parts.iter().any(|part| part.era_began.is_some())
    }

    /// Returns the version that the operator assigned to the routing document in force, or `None`
    /// if there is none.
    pub fn routing_version(&self) -> Option<u64> {
        let records = &self.parts[Part::Routing as usize].records;
        match records.get(ROUTING_VERSION_RECORD)?.body {
            Some(RecordBody::RoutingVersion(version)) => Some(version),
            _ => None,
        }
    }

    /// Returns whether records are of an older routing document than the one in force, as a
    /// restored store may list it.
    pub fn is_older_routing<'a>(&self, mut bodies: impl Iterator<Item = &'a RecordBody>) -> bool {
        let Some(current) = self.routing_version() else { return false };
        bodies.any(|body| matches!(body, RecordBody::RoutingVersion(it) if is_older_document(*it, current)))
    }

    /// Returns the time as of which a part was last known to match the store, or `None` before its
    /// first confirmation.
    pub fn confirmed_at(&self, part: Part) -> Option<Instant> {
        self.parts[part as usize].confirmed_at
    }

    /// Returns the time since the store last confirmed a part, or `None` before its first
    /// confirmation.
    pub fn age(&self, part: Part, now: Instant) -> Option<Duration> {
        self.confirmed_at(part).map(|at| now.saturating_duration_since(at))
    }

    /// Returns the records of a part ordered by name. Tombstones without a body are left out;
    /// registrations of removed targets remain, in the state [`RegistrationState::Gone`].
    pub fn records(&self, part: Part) -> impl Iterator<Item = (&SmolStr, &RecordBody)> {
        let records = self.parts[part as usize].records.iter();
        records.filter_map(|(name, stored)| Some((name, stored.body.as_ref()?)))
    }

    /// Returns whether [`Directory::changes_after`] returns all changes after a version, removals
    /// included.
    pub fn has_history(&self, part: Part, after: Version) -> bool {
        after > 0 && after >= self.parts[part as usize].history_start
    }

    /// Returns the version of the last change of a part that is not after `until`, but at least the
    /// version at which the known history begins. Nothing changed between the result and `until`.
    pub fn last_change_version(&self, part: Part, until: Version) -> Version {
        let part = &self.parts[part as usize];
        if part.newest_version <= until {
            return part.newest_version.max(part.history_start);
        }
        let versions = part.records.values().map(|stored| stored.version);
        versions.filter(|version| *version <= until).fold(part.history_start, Version::max)
    }

    /// Returns the records of a part that changed after a version, tombstones included.
    pub fn changes_after(&self, part: Part, after: Version) -> Vec<DirectoryRecord> {
        let records = self.parts[part as usize].records.iter();
        let changed = records.filter(|(_, stored)| stored.version > after);
        let record = |(name, stored): (&SmolStr, &StoredRecord)| DirectoryRecord {
            name: name.clone(),
            version: stored.version,
            body: stored.body.clone(),
        };
        changed.map(record).collect()
    }

    /// Merges records into a part and returns whether any of them changed it. A record is ignored
    /// unless its version is higher than that of the record with the same name.
    pub fn merge(&mut self, part: Part, records: Vec<DirectoryRecord>, now: Instant) -> bool {
        let PartState { records: stored, newest_version, .. } = &mut self.parts[part as usize];
        let mut is_changed = false;
        for record in records {
            let known = stored.get(&record.name);
            if known.is_some_and(|known| known.version >= record.version) {
                continue;
            }
            *newest_version = record.version.max(*newest_version);
            let removed_at = record.is_removed().then_some(now);
            let entry = StoredRecord { version: record.version, body: record.body, removed_at };
            stored.insert(record.name, entry);
            is_changed = true;
        }
        is_changed
    }

    /// Marks a part as complete up to `version`, as confirmed by the store at `at`.
    pub fn confirm(&mut self, part: Part, version: Version, at: Instant) {
        let part = &mut self.parts[part as usize];
        if part.complete_version == 0 {
            part.history_start = version;
        } else if store_version::era(version) > store_version::era(part.complete_version) {
            part.era_began = Some(at);
        }
        part.complete_version = part.complete_version.max(version);
        part.confirmed_at = part.confirmed_at.max(Some(at));
    }

    /// Compares a complete listing of a part at `version` with the replica, and returns the records
    /// that bring the replica up to date.
    pub fn differences(
        &self,
        part: Part,
        version: Version,
        listed: Vec<(SmolStr, Version, RecordBody)>,
    ) -> Vec<DirectoryRecord> {
        let names: HashSet<SmolStr> = listed.iter().map(|(name, _, _)| name.clone()).collect();
        let mut differences = self.implied_removals(part, version, &names);
        let known = &self.parts[part as usize].records;
        for (name, changed_at, body) in listed {
            if known.get(&name).is_none_or(|stored| stored.body.as_ref() != Some(&body)) {
                differences.push(DirectoryRecord { name, version: changed_at, body: Some(body) });
            }
        }
        differences
    }

    /// Returns the differences to an unsettled listing that are safe to merge at once:
    /// records that this replica has never had, and targets that have started again since.
    pub fn unambiguous(
        &self,
        part: Part,
        differences: Vec<DirectoryRecord>,
    ) -> Vec<DirectoryRecord> {
        let known = &self.parts[part as usize].records;
        let is_unambiguous = |record: &DirectoryRecord| {
            let Some(stored) = known.get(&record.name) else { return true };
            match (&stored.body, &record.body) {
                (Some(RecordBody::Registration(old)), Some(RecordBody::Registration(new))) => {
                    !record.is_removed() && new.started > old.started
                }
                _ => false,
            }
        };
        differences.into_iter().filter(is_unambiguous).collect()
    }

    /// Returns tombstones for the records that a complete listing at `version` no longer contains.
    /// `names` are the names in that listing. Records newer than the listing are kept.
    pub fn implied_removals(
        &self,
        part: Part,
        version: Version,
        names: &HashSet<SmolStr>,
    ) -> Vec<DirectoryRecord> {
        let known = self.parts[part as usize].records.iter();
        let missing = known.filter(|(name, stored)| {
            let is_there = !is_removed(stored.body.as_ref());
            is_there && stored.version <= version && !names.contains(*name)
        });
        let removal = |(name, stored): (&SmolStr, &StoredRecord)| DirectoryRecord {
            name: name.clone(),
            version: version.max(stored.version + 1),
            body: tombstone_body(stored.body.as_ref()),
        };
        missing.map(removal).collect()
    }

    /// Returns a tombstone for a record that was deleted from the store. `version` is that of the
    /// deletion, or the last version of the deleted object.
    pub fn removal(&self, part: Part, name: &str, version: Version) -> DirectoryRecord {
        let part = &self.parts[part as usize];
        let known = part.records.get(name);
        let body = tombstone_body(known.and_then(|stored| stored.body.as_ref()));
        let is_last = known.is_some_and(|stored| stored.version == version);
        // The deletion was only just reported, so it is newer than everything known so far.
        let version = if is_last { part.complete_version.max(version) + 1 } else { version };
        DirectoryRecord { name: name.into(), version, body }
    }

    /// Drops tombstones older than [`TOMBSTONE_RETENTION`], and moves the start of the known
    /// history past them.
    pub fn purge_tombstones(&mut self, now: Instant) {
        for part in &mut self.parts {
            let history_start = &mut part.history_start;
            part.records.retain(|_, stored| {
                let is_kept = stored.removed_at.is_none_or(|at| now < at + TOMBSTONE_RETENTION);
                if !is_kept {
                    *history_start = stored.version.max(*history_start);
                }
                is_kept
            });
        }
    }
}

/// Returns the body that the tombstone of a record keeps. A removed target keeps its registration,
/// so that packets of its open flows still reach it while it runs.
fn tombstone_body(body: Option<&RecordBody>) -> Option<RecordBody> {
    match body {
        Some(RecordBody::Registration(registration)) => {
            let mut registration = registration.clone();
            registration.state = RegistrationState::Gone;
            Some(RecordBody::Registration(registration))
        }
        _ => None,
    }
}
