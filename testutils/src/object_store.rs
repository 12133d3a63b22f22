//! The store of the users' platform: objects with one counter of revisions, history and watches.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{json, Value};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

/// Kind of the targets' entries.
pub const SERVERS: &str = "servers";
/// Objects that a page of a listing holds.
const PAGE_OBJECTS: usize = 500;
/// Field of an entry that may change without a new revision.
const SEQUENCE: &str = "sequence";

/// Revision of the store.
pub type Revision = u64;

/// Rates and history of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Writing calls a second.
    pub writes_per_second: u32,
    /// Reading calls a second.
    pub reads_per_second: u32,
    /// Time for which changes can be watched.
    pub history: Duration,
}

impl Default for StoreLimits {
    fn default() -> Self {
        let history = Duration::from_secs(20);
        Self { writes_per_second: 400, reads_per_second: 2_000, history }
    }
}

/// Why the store does not do what it is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// There is no such object.
    NotFound,
    /// The object exists already, or has another revision.
    Conflict(Value),
    /// The history no longer reaches back so far.
    Gone,
    /// More calls came than the rate allows.
    RateLimited,
    /// The call makes no sense.
    BadRequest(&'static str),
}

#[derive(Clone, Debug)]
struct Stored {
    revision: Revision,
    created: Revision,
    spec: Value,
    expires_at: Option<Instant>,
}

impl Stored {
    fn to_json(&self, name: &str) -> Value {
        let meta = json!({
            "name": name, "revision": self.revision, "created": self.created,
            "finalizers": [], "deleting": false,
        });
        json!({ "meta": meta, "spec": self.spec, "status": {} })
    }
}

#[derive(Debug)]
struct Change {
    revision: Revision,
    at: Instant,
    kind: SmolStr,
    object: Value,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct Meter {
    second: Option<Instant>,
    calls: u32,
}

impl Meter {
    fn admits(&mut self, limit: u32, now: Instant) -> bool {
        if self.second.is_none_or(|since| now >= since + Duration::from_secs(1)) {
            *self = Self { second: Some(now), calls: 0 };
        }
        self.calls += 1;
        self.calls <= limit
    }
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    objects: BTreeMap<(SmolStr, SmolStr), Stored>,
    changes: VecDeque<Change>,
    oldest: Revision,
    reads: Meter,
    writes: Meter,
    calls: u64,
    is_down: bool,
}

/// The store.
#[derive(Debug)]
pub struct ObjectStore {
    limits: StoreLimits,
    state: Mutex<State>,
    revisions: watch::Sender<Revision>,
}

impl ObjectStore {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> Self {
        Self { limits, state: Mutex::new(State::default()), revisions: watch::channel(0).0 }
    }

    /// Returns the number of calls that instances made.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Stops or resumes serving anyone.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
    }

    /// Tells whether the store serves nobody.
    pub fn is_down(&self) -> bool {
        self.state.lock().is_down
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.oldest = state.revision;
    }

    /// Writes what the operator decided; returns the revision, or `None` while the store is down.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> Option<Revision> {
        let mut state = self.state.lock();
        if state.is_down {
            return None;
        }
        let revision = state.put(kind, name, spec, None);
        self.finish(state);
        Some(revision)
    }

    /// Removes what the operator no longer wants; tells whether the store took it.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock();
        if state.is_down {
            return false;
        }
        state.delete(kind, name);
        self.finish(state);
        true
    }

    /// Takes the entry of a target, which stands until `expires_at`; tells whether the store took it.
    pub fn register_server(&self, name: &str, spec: Value, expires_at: Instant) -> bool {
        let mut state = self.state.lock();
        if state.is_down {
            return false;
        }
        let known = state.objects.get_mut(&(SERVERS.into(), name.into()));
        match known {
            Some(known) if is_same_entry(&known.spec, &spec) => known.expires_at = Some(expires_at),
            _ => {
                state.put(SERVERS, name, spec, Some(expires_at));
            }
        }
        self.finish(state);
        true
    }

    /// Removes the entries that expired.
    pub fn remove_expired(&self, now: Instant) {
        let mut state = self.state.lock();
        let is_expired = |stored: &Stored| stored.expires_at.is_some_and(|at| now >= at);
        let expired: Vec<_> = state
            .objects
            .iter()
            .filter(|(_, stored)| is_expired(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for (kind, name) in expired {
            state.delete(&kind, &name);
        }
        let oldest = now.checked_sub(self.limits.history);
        while let Some(change) =
            state.changes.front().filter(|it| oldest.is_some_and(|at| it.at < at))
        {
            state.oldest = change.revision;
            state.changes.pop_front();
        }
        self.finish(state);
    }

    /// Returns the entry of a target, as the store has it.
    pub fn server(&self, name: &str) -> Option<Value> {
        let state = self.state.lock();
        state.objects.get(&(SERVERS.into(), name.into())).map(|stored| stored.spec.clone())
    }

    /// Lists a kind after a name.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub fn list(&self, kind: &str, after: &str) -> Result<Value, StoreError> {
        let mut state = self.read()?;
        let state = &mut *state;
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let mut rest = of_kind.filter(|((_, name), _)| name.as_str() > after);
        let items: Vec<_> =
            rest.by_ref().take(PAGE_OBJECTS).map(|((_, name), it)| it.to_json(name)).collect();
        let more = rest.next().is_some();
        Ok(json!({ "items": items, "more": more, "store-revision": state.revision }))
    }

    /// Returns one object.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub fn get(&self, kind: &str, name: &str) -> Result<Value, StoreError> {
        let state = self.read()?;
        let stored = state.objects.get(&(kind.into(), name.into()));
        stored.map(|stored| stored.to_json(name)).ok_or(StoreError::NotFound)
    }

    /// Creates or replaces an object of the system; `revision` is that of the object that it
    /// replaces, and 0 for a new one.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        spec: Value,
        revision: Revision,
    ) -> Result<Value, StoreError> {
        let mut state = self.state.lock();
        state.calls += 1;
        if !state.writes.admits(self.limits.writes_per_second, Instant::now()) {
            return Err(StoreError::RateLimited);
        }
        let key = (kind.into(), name.into());
        match state.objects.get(&key) {
            Some(known) if known.revision != revision => {
                return Err(StoreError::Conflict(known.to_json(name)));
            }
            None if revision != 0 => return Err(StoreError::NotFound),
            _ => {}
        }
        state.put(kind, name, spec, None);
        let value = state.objects.get(&key).map_or(Value::Null, |stored| stored.to_json(name));
        self.finish(state);
        Ok(value)
    }

    /// Waits for changes of a kind after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Value, StoreError> {
        drop(self.read()?);
        let end = Instant::now() + wait;
        let mut revisions = self.revisions.subscribe();
        loop {
            revisions.borrow_and_update();
            let (events, revision) = self.events(kind, after)?;
            if !events.is_empty() || Instant::now() >= end {
                return Ok(json!({ "events": events, "store-revision": revision }));
            }
            if tokio::time::timeout_at(end, revisions.changed()).await.is_err() {
                log::trace!("nothing changed in time");
            }
        }
    }

    fn events(&self, kind: &str, after: Revision) -> Result<(Vec<Value>, Revision), StoreError> {
        let state = self.state.lock();
        if after < state.oldest {
            return Err(StoreError::Gone);
        }
        let new = state.changes.iter().filter(|it| it.revision > after && it.kind == kind);
        let events =
            new.map(|it| json!({ "object": it.object, "deleted": it.is_deleted })).collect();
        Ok((events, state.revision))
    }

    fn read(&self) -> Result<parking_lot::MutexGuard<'_, State>, StoreError> {
        let mut state = self.state.lock();
        state.calls += 1;
        if state.reads.admits(self.limits.reads_per_second, Instant::now()) {
            Ok(state)
        } else {
            Err(StoreError::RateLimited)
        }
    }

    fn finish(&self, state: parking_lot::MutexGuard<'_, State>) {
        let revision = state.revision;
        drop(state);
        self.revisions.send_if_modified(|known| std::mem::replace(known, revision) != revision);
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value, expires_at: Option<Instant>) -> Revision {
        let key = (SmolStr::new(kind), SmolStr::new(name));
        if let Some(known) = self.objects.get_mut(&key).filter(|known| known.spec == spec) {
            known.expires_at = expires_at;
            return known.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |known| known.created);
        let stored = Stored { revision, created, spec, expires_at };
        self.note(kind, stored.to_json(name), false);
        self.objects.insert(key, stored);
        revision
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut stored) = self.objects.remove(&(kind.into(), name.into())) else { return };
        self.revision += 1;
        stored.revision = self.revision;
        self.note(kind, stored.to_json(name), true);
    }

    fn note(&mut self, kind: &str, object: Value, is_deleted: bool) {
        let (revision, at) = (self.revision, Instant::now());
        self.changes.push_back(Change { revision, at, kind: kind.into(), object, is_deleted });
    }
}

fn is_same_entry(known: &Value, new: &Value) -> bool {
    let without_sequence = |value: &Value| {
        let mut fields = value.as_object().cloned().unwrap_or_default();
        fields.remove(SEQUENCE);
        fields
    };
    without_sequence(known) == without_sequence(new)
}
