//! Directory of routes, targets and outages as one instance knows it.
//!
//! Records carry the version of the store at which they changed, so whoever tells a record, the
//! newest wins and nothing goes back. Each part knows up to which version it is complete.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::collections::HashSet;
use crate::ids::Version;
use crate::route::{is_removed, DirectoryRecord, Part, RecordBody, RegistrationState};

/// Time for which removed records are kept: longer than any flow lasts, so that packets of open
/// flows still find their target.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

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
    /// Version from which on every removal is known.
    history_start: Version,
    /// Version of the newest record that there ever was.
    newest_version: Version,
    confirmed_at: Option<Instant>,
}

/// Directory as one instance knows it.
#[derive(Debug, Default)]
pub struct Directory {
    parts: [PartState; Part::ALL.len()],
}

impl Directory {
    /// Returns the version of the store up to which a part is complete; 0 before it was read.
    pub fn complete_version(&self, part: Part) -> Version {
        self.parts[part as usize].complete_version
    }

    /// Returns the versions up to which the parts are complete.
    pub fn complete_versions(&self) -> [Version; Part::ALL.len()] {
        Part::ALL.map(|part| self.complete_version(part))
    }

    /// Tells whether every part was read at least once.
    pub fn is_complete(&self) -> bool {
        Part::ALL.iter().all(|part| self.complete_version(*part) > 0)
    }

    /// Returns when the store last confirmed a part, as far as is known.
    pub fn confirmed_at(&self, part: Part) -> Option<Instant> {
        self.parts[part as usize].confirmed_at
    }

    /// Returns the time since the store last confirmed a part, as far as is known.
    pub fn age(&self, part: Part, now: Instant) -> Option<Duration> {
        self.confirmed_at(part).map(|at| now.saturating_duration_since(at))
    }

    /// Returns the records of a part that are not removed, in the order of their names.
    pub fn records(&self, part: Part) -> impl Iterator<Item = (&SmolStr, &RecordBody)> {
        let records = self.parts[part as usize].records.iter();
        records.filter_map(|(name, stored)| Some((name, stored.body.as_ref()?)))
    }

    /// Tells whether [`Directory::changes_after`] a version has all changes since then, removals
    /// included.
    pub fn has_history(&self, part: Part, after: Version) -> bool {
        after > 0 && after >= self.parts[part as usize].history_start
    }

    /// Returns the version of the last change of a part up to a version, or the version from which on
    /// changes are known. Nothing changed between that and `until`.
    pub fn last_change_version(&self, part: Part, until: Version) -> Version {
        let part = &self.parts[part as usize];
        if part.newest_version <= until {
            return part.newest_version.max(part.history_start);
        }
        let versions = part.records.values().map(|stored| stored.version);
        versions.filter(|version| *version <= until).fold(part.history_start, Version::max)
    }

    /// Returns the records of a part that changed after a version.
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

    /// Merges records; an older record than the one that is known changes nothing.
    ///
    /// Returns whether anything changed.
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

    /// Notes that the store confirmed a part to be complete up to a version at some time.
    pub fn confirm(&mut self, part: Part, version: Version, at: Instant) {
        let part = &mut self.parts[part as usize];
        if part.complete_version == 0 {
            part.history_start = version;
        }
        part.complete_version = part.complete_version.max(version);
        part.confirmed_at = part.confirmed_at.max(Some(at));
    }

    /// Compares a complete listing of a part with what is known, and returns the differences.
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

    /// Returns the removals of the records that are not among the `names` of a whole part.
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

    /// Returns the record that says that the store no longer has an entry. `version` is that of the
    /// removal, or the last one that the entry had.
    pub fn removal(&self, part: Part, name: &str, version: Version) -> DirectoryRecord {
        let part = &self.parts[part as usize];
        let known = part.records.get(name);
        let body = tombstone_body(known.and_then(|stored| stored.body.as_ref()));
        let is_last = known.is_some_and(|stored| stored.version == version);
        // The removal is news, so it came after all that is known.
        let version = if is_last { part.complete_version.max(version) + 1 } else { version };
        DirectoryRecord { name: name.into(), version, body }
    }

    /// Forgets records that were removed long ago.
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

/// Returns what is kept of a record that the store no longer has: a target that is gone stays
/// known, so that packets of its open flows reach it if it still lives.
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
