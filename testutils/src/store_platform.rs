//! Client of the stand-in object store without a network. It stores hollyhead's own records.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hollyhead::ids::Version;
use hollyhead::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use hollyhead::store_version;
use parking_lot::Mutex;
use serde_json::Value;

use crate::object_store::{ObjectStore, StoreError};

/// Client of an [`ObjectStore`], with the same handling of eras as the client of the users' platform.
pub struct StorePlatform {
    store: Arc<ObjectStore>,
    is_cut: Mutex<bool>,
}

impl StorePlatform {
    /// Creates a client of a store.
    pub fn new(store: Arc<ObjectStore>) -> Self {
        Self { store, is_cut: Mutex::new(false) }
    }

    /// Cuts this client off from the store, or reconnects it.
    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.lock() = is_cut;
    }

    fn check_reachable(&self) -> Result<(), PlatformError> {
        if *self.is_cut.lock() || self.store.is_down() {
            return Err(PlatformError::Unavailable("the store does not answer".into()));
        }
        Ok(())
    }

    fn version(&self, revision: &Value) -> Version {
        let era = u16::try_from(self.store.era()).unwrap_or(u16::MAX);
        store_version::version(era, revision.as_u64().unwrap_or_default()).unwrap_or_default()
    }

    fn object(&self, kind: &str, value: &Value, is_deleted: bool) -> Object {
        Object {
            kind: kind.into(),
            name: value["meta"]["name"].as_str().unwrap_or_default().into(),
            version: self.version(&value["meta"]["revision"]),
            body: (!is_deleted).then(|| value["spec"].clone()),
        }
    }
}

fn unsupported() -> PlatformError {
    PlatformError::InvalidResponse("call not supported by this stand-in".into())
}

#[async_trait]
impl Platform for StorePlatform {
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.check_reachable()?;
        let page = self.store.list(kind, "").map_err(|err| platform_error(&err))?;
        let items = page["items"].as_array().into_iter().flatten();
        let objects = items.map(|item| self.object(kind, item, false)).collect();
        Ok(Listing { version: self.version(&page["store-revision"]), objects })
    }

    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        let [kind] = kinds else { return Err(unsupported()) };
        self.check_reachable()?;
        let revision = store_version::revision(after);
        let events = self.store.watch(kind, revision, timeout).await;
        self.check_reachable()?;
        if self.store.era() != u64::from(store_version::era(after)) {
            return Err(PlatformError::Compacted);
        }
        let events = events.map_err(|err| platform_error(&err))?;
        let objects = events["events"].as_array().into_iter().flatten().map(|event| {
            self.object(kind, &event["object"], event["deleted"].as_bool().unwrap_or_default())
        });
        let objects = objects.collect();
        Ok(Listing { version: self.version(&events["store-revision"]), objects })
    }

    async fn get(&self, _: &str, _: &str) -> Result<Object, PlatformError> {
        Err(unsupported())
    }

    async fn put(
        &self,
        _: &str,
        _: &str,
        _: Value,
        _: Precondition,
    ) -> Result<Version, PlatformError> {
        Err(unsupported())
    }

    async fn delete(&self, _: &str, _: &str, _: Version) -> Result<(), PlatformError> {
        Err(unsupported())
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        Ok(Vec::new())
    }
}

fn platform_error(err: &StoreError) -> PlatformError {
    match err {
        StoreError::Gone => PlatformError::Compacted,
        err => PlatformError::Unavailable(format!("{err:?}")),
    }
}
