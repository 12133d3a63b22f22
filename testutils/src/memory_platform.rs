//! In-memory platform with injected faults, for tests.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hollyhead::ids::Version;
use hollyhead::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use parking_lot::Mutex;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;

#[derive(Default)]
struct Store {
    version: Version,
    compacted: Version,
    objects: BTreeMap<(SmolStr, SmolStr), Object>,
    instances: Vec<ListedInstance>,
}

/// In-memory implementation of [`Platform`], whose faults tests switch on and off.
#[derive(Default)]
pub struct MemoryPlatform {
    store: Mutex<Store>,
    changed: Notify,
    down: AtomicBool,
    lose_answers: AtomicBool,
    stalled_watches: AtomicBool,
    delay_ms: AtomicU64,
    calls: AtomicU64,
}

impl MemoryPlatform {
    /// Sets whether every call fails as unavailable.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Sets whether every write takes effect but returns [`PlatformError::Unavailable`], as if its
    /// response were lost.
    pub fn set_lose_answers(&self, lose: bool) {
        self.lose_answers.store(lose, Ordering::SeqCst);
    }

    /// Sets whether every watch reports no changes and stays at its version, as if the platform's
    /// feed of changes had stalled.
    pub fn set_stalled_watches(&self, silent: bool) {
        self.stalled_watches.store(silent, Ordering::SeqCst);
    }

    /// Sets the time by which every call is delayed.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Returns the number of calls so far. A watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.store.lock().instances = instances;
    }

    /// Discards the history of changes: a watch from an earlier version fails as compacted.
    pub fn compact(&self) {
        let mut store = self.store.lock();
        store.compacted = store.version;
    }

    /// Writes an object whatever its version, as a tool other than hollyhead would, and returns its
    /// new version.
    pub fn force_put(&self, kind: &str, name: &str, body: Value) -> Version {
        let version = self.store.lock().write(kind, name, Some(body));
        self.changed.notify_waiters();
        version
    }

    async fn begin_call(&self) -> Result<(), PlatformError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.check_available()
    }

    fn check_available(&self) -> Result<(), PlatformError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable("outage".into()));
        }
        Ok(())
    }

    fn finish_write<T>(&self, value: T) -> Result<T, PlatformError> {
        self.changed.notify_waiters();
        if self.lose_answers.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable("response lost".into()));
        }
        Ok(value)
    }
}

impl Store {
    fn write(&mut self, kind: &str, name: &str, body: Option<Value>) -> Version {
        self.version += 1;
        let (kind, name) = (SmolStr::new(kind), SmolStr::new(name));
        let version = self.version;
        let object = Object { kind: kind.clone(), name: name.clone(), version, body };
        self.objects.insert((kind, name), object);
        version
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        let object = self.objects.get(&(SmolStr::new(kind), SmolStr::new(name)))?;
        object.body.as_ref().map(|_| object)
    }

    fn check(&self, kind: &str, name: &str, condition: Precondition) -> Result<(), PlatformError> {
        let is_met = match (self.find(kind, name), condition) {
            (None, Precondition::Absent) => true,
            (Some(object), Precondition::Version(version)) => object.version == version,
            _ => false,
        };
        if is_met {
            return Ok(());
        }
        Err(PlatformError::Conflict { kind: kind.into(), name: name.into() })
    }

    fn changes_since(&self, kinds: &[&str], after: Version) -> Listing {
        let is_newer =
            |object: &&Object| object.version > after && kinds.contains(&object.kind.as_str());
        let newer = self.objects.values().filter(is_newer);
        let mut objects: Vec<_> = newer.cloned().collect();
        objects.sort_by_key(|object| object.version);
        Listing { version: self.version, objects }
    }
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.begin_call().await?;
        let store = self.store.lock();
        let objects =
            store.objects.values().filter(|object| object.kind == kind && object.body.is_some());
        Ok(Listing { version: store.version, objects: objects.cloned().collect() })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError> {
        self.begin_call().await?;
        let store = self.store.lock();
        let not_found = || PlatformError::NotFound { kind: kind.into(), name: name.into() };
        store.find(kind, name).cloned().ok_or_else(not_found)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Value,
        condition: Precondition,
    ) -> Result<Version, PlatformError> {
        self.begin_call().await?;
        let version = {
            let mut store = self.store.lock();
            store.check(kind, name, condition)?;
            store.write(kind, name, Some(body))
        };
        self.finish_write(version)
    }

    async fn delete(&self, kind: &str, name: &str, version: Version) -> Result<(), PlatformError> {
        self.begin_call().await?;
        {
            let mut store = self.store.lock();
            store.check(kind, name, Precondition::Version(version))?;
            store.write(kind, name, None);
        }
        self.finish_write(())
    }

    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        self.begin_call().await?;
        let until = Instant::now() + timeout;
        loop {
            let changed = self.changed.notified();
            self.check_available()?;
            let changes = {
                let store = self.store.lock();
                if after < store.compacted {
                    return Err(PlatformError::Compacted);
                }
                store.changes_since(kinds, after)
            };
            let silent = self.stalled_watches.load(Ordering::SeqCst);
            if !changes.objects.is_empty() && !silent {
                return Ok(changes);
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                let version = if silent { after } else { changes.version };
                return Ok(Listing { version, objects: Vec::new() });
            }
        }
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.begin_call().await?;
        Ok(self.store.lock().instances.clone())
    }
}
