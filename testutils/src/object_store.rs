//! Stand-in for the object store of the users' platform. It has one revision counter for all
//! objects, optimistic concurrency control, a limited change history, and watches. It can be restored
//! from a copy of its contents, which begins a new era.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{json, Value};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

/// Object kind of the targets' registrations.
pub const SERVERS: &str = "servers";
/// Largest number of objects in a page of a listing.
const MAX_PAGE_OBJECTS: usize = 500;
/// Field of a registration that every renewal increments. A renewal that changes nothing else gets
/// no new revision, because watchers would otherwise receive an event for each heartbeat.
const SEQUENCE_FIELD: &str = "sequence";

/// Revision of the store, incremented by each change of an object.
pub type Revision = u64;

/// Rate limits and length of the history of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Largest number of calls per second that write, over all callers.
    pub writes_per_second: u32,
    /// Largest number of calls per second that read, over all callers.
    pub reads_per_second: u32,
    /// Time for which a change stays in the history. A watch from an older revision fails.
    pub history: Duration,
}

impl Default for StoreLimits {
    fn default() -> Self {
        let history = Duration::from_secs(20);
        Self { writes_per_second: 400, reads_per_second: 2_000, history }
    }
}

/// Reason why the store refuses a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// The object does not exist.
    NotFound,
    /// The object exists already or has another revision. Contains the current object.
    Conflict(Value),
    /// The history no longer contains the changes after the requested revision.
    Gone,
    /// The rate limit is exceeded.
    RateLimited,
    /// The request is malformed. Contains the reason.
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

/// Copy of the contents of a store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: Revision,
    objects: BTreeMap<(SmolStr, SmolStr), Stored>,
}

/// Time for which a restored registration stays without a renewal by its target.
const RESTORED_LEASE: Duration = Duration::from_millis(3_600);

#[derive(Debug, Default)]
struct RateLimiter {
    window_start: Option<Instant>,
    calls: u32,
}

impl RateLimiter {
    fn try_acquire(&mut self, limit: u32, now: Instant) -> bool {
        if self.window_start.is_none_or(|start| now >= start + Duration::from_secs(1)) {
            *self = Self { window_start: Some(now), calls: 0 };
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
    compacted_revision: Revision,
    reads: RateLimiter,
    writes: RateLimiter,
    calls: u64,
    is_down: bool,
    era: u64,
}

/// The object store. Callers over HTTP use `list`, `get`, `put` and `watch`; the test harness uses
/// the other methods, which have no rate limit.
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

    /// Returns the number of calls that counted towards the rate limits, refused ones included.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Starts or ends an outage of the store for all callers.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
    }

    /// Returns whether the store has an outage.
    pub fn is_down(&self) -> bool {
        self.state.lock().is_down
    }

    /// Returns the number of restores of the store.
    pub fn era(&self) -> u64 {
        self.state.lock().era
    }

    /// Returns a copy of the current contents.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Restores the store from a copy, which begins a new era. What was written since the copy is
    /// gone, and its revisions are assigned again. No watch can resume from before.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock();
        let lease_end = Instant::now() + RESTORED_LEASE;
        state.revision = copy.revision;
        state.compacted_revision = copy.revision;
        state.objects = copy.objects;
        for stored in state.objects.values_mut() {
            stored.expires_at = stored.expires_at.map(|at| at.max(lease_end));
        }
        state.changes.clear();
        state.era += 1;
        self.publish(state);
    }

    /// Discards the history, so that a watch from an earlier revision fails.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.changes.clear();
        state.compacted_revision = state.revision;
    }

    /// Creates or replaces an object on behalf of the operator. Returns its revision, or `None`
    /// while the store is down.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> Option<Revision> {
        let mut state = self.state.lock();
        if state.is_down {
            return None;
        }
        let revision = state.put(kind, name, spec, None);
        self.publish(state);
        Some(revision)
    }

    /// Deletes an object on behalf of the operator. Returns `false` while the store is down.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock();
        if state.is_down {
            return false;
        }
        state.delete(kind, name);
        self.publish(state);
        true
    }

    /// Creates or renews the registration of a target, which expires at `expires_at`. Returns
    /// `false` while the store is down.
    pub fn register_server(&self, name: &str, spec: Value, expires_at: Instant) -> bool {
        let mut state = self.state.lock();
        if state.is_down {
            return false;
        }
        let known = state.objects.get_mut(&(SERVERS.into(), name.into()));
        match known {
            Some(known) if is_same_registration(&known.spec, &spec) => {
                known.expires_at = Some(expires_at);
            }
            _ => {
                state.put(SERVERS, name, spec, Some(expires_at));
            }
        }
        self.publish(state);
        true
    }

    /// Deletes the registrations that have expired, and the changes that are older than
    /// [`StoreLimits::history`].
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
        let cutoff = now.checked_sub(self.limits.history);
        while let Some(change) =
            state.changes.front().filter(|it| cutoff.is_some_and(|at| it.at < at))
        {
            state.compacted_revision = change.revision;
            state.changes.pop_front();
        }
        self.publish(state);
    }

    /// Returns the registration of a target, if there is one. An expired registration exists until
    /// [`ObjectStore::remove_expired`] deletes it.
    pub fn server(&self, name: &str) -> Option<Value> {
        let state = self.state.lock();
        state.objects.get(&(SERVERS.into(), name.into())).map(|stored| stored.spec.clone())
    }

    /// Returns a page of the objects of a kind, in the order of their names, that begins after the
    /// name `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is refused.
    pub fn list(&self, kind: &str, after: &str) -> Result<Value, StoreError> {
        let mut state = self.read()?;
        let state = &mut *state;
        let same_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let mut rest = same_kind.filter(|((_, name), _)| name.as_str() > after);
        let items: Vec<_> =
            rest.by_ref().take(MAX_PAGE_OBJECTS).map(|((_, name), it)| it.to_json(name)).collect();
        let more = rest.next().is_some();
        Ok(json!({ "items": items, "more": more, "store-revision": state.revision }))
    }

    /// Returns one object with its metadata.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is refused.
    pub fn get(&self, kind: &str, name: &str) -> Result<Value, StoreError> {
        let state = self.read()?;
        let stored = state.objects.get(&(kind.into(), name.into()));
        stored.map(|stored| stored.to_json(name)).ok_or(StoreError::NotFound)
    }

    /// Creates or replaces an object on behalf of an instance. `revision` is the revision of the
    /// object that it replaces, or 0 for a new object; another revision is a conflict.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is refused.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        spec: Value,
        revision: Revision,
    ) -> Result<Value, StoreError> {
        let mut state = self.state.lock();
        state.calls += 1;
        if !state.writes.try_acquire(self.limits.writes_per_second, Instant::now()) {
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
        self.publish(state);
        Ok(value)
    }

    /// Returns the changes of a kind after a revision. Waits up to `wait` for the first change, and
    /// returns an empty list of events if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is refused.
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
                log::trace!("watch of {kind} timed out without a change");
            }
        }
    }

    fn events(&self, kind: &str, after: Revision) -> Result<(Vec<Value>, Revision), StoreError> {
        let state = self.state.lock();
        if after < state.compacted_revision || after > state.revision {
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
        if state.reads.try_acquire(self.limits.reads_per_second, Instant::now()) {
            Ok(state)
        } else {
            Err(StoreError::RateLimited)
        }
    }

    fn publish(&self, state: parking_lot::MutexGuard<'_, State>) {
        let revision = state.revision;
        drop(state);
        self.revisions.send_if_modified(|known| std::mem::replace(known, revision) != revision);
    }
}

impl State {
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
        expires_at: Option<Instant>,
    ) -> Revision {
        let key = (SmolStr::new(kind), SmolStr::new(name));
        if let Some(known) = self.objects.get_mut(&key).filter(|known| known.spec == spec) {
            known.expires_at = expires_at;
            return known.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |known| known.created);
        let stored = Stored { revision, created, spec, expires_at };
        self.record_change(kind, stored.to_json(name), false);
        self.objects.insert(key, stored);
        revision
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut stored) = self.objects.remove(&(kind.into(), name.into())) else { return };
        self.revision += 1;
        stored.revision = self.revision;
        self.record_change(kind, stored.to_json(name), true);
    }

    fn record_change(&mut self, kind: &str, object: Value, is_deleted: bool) {
        let (revision, at) = (self.revision, Instant::now());
        self.changes.push_back(Change { revision, at, kind: kind.into(), object, is_deleted });
    }
}

fn is_same_registration(known: &Value, new: &Value) -> bool {
    let without_sequence = |value: &Value| {
        let mut fields = value.as_object().cloned().unwrap_or_default();
        fields.remove(SEQUENCE_FIELD);
        fields
    };
    without_sequence(known) == without_sequence(new)
}
