//! Connection of one instance to the platform, with injected faults: calls fail, or their answers
//! are held back as while the instance is paused.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hollyhead::ids::Version;
use hollyhead::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use serde_json::Value;
use tokio::sync::watch;

use crate::memory_platform::MemoryPlatform;

/// State of a connection to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Calls reach the platform, and their answers the instance.
    Up,
    /// Calls fail as if the platform were unreachable.
    Cut,
    /// Calls reach the platform, but their answers are held back until the state changes.
    Paused,
}

/// Connection of one instance to the platform, whose faults are injected by [`PlatformLink::set`].
pub struct PlatformLink {
    platform: Arc<MemoryPlatform>,
    state: watch::Sender<LinkState>,
}

impl PlatformLink {
    /// Creates a link that is up.
    pub fn new(platform: Arc<MemoryPlatform>) -> Arc<Self> {
        Arc::new(Self { platform, state: watch::Sender::new(LinkState::Up) })
    }

    /// Changes the state of the link.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    fn check(&self) -> Result<(), PlatformError> {
        if *self.state.borrow() == LinkState::Cut {
            return Err(PlatformError::Unavailable("platform link is cut".into()));
        }
        Ok(())
    }

    async fn finish<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let mut state = self.state.subscribe();
        let is_dropped = state.wait_for(|state| *state != LinkState::Paused).await.is_err();
        if is_dropped {
            return Err(PlatformError::Unavailable("platform link was dropped".into()));
        }
        self.check()?;
        result
    }
}

#[async_trait]
impl Platform for PlatformLink {
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.check()?;
        self.finish(self.platform.list(kind).await).await
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError> {
        self.check()?;
        self.finish(self.platform.get(kind, name).await).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Value,
        condition: Precondition,
    ) -> Result<Version, PlatformError> {
        self.check()?;
        self.finish(self.platform.put(kind, name, body, condition).await).await
    }

    async fn delete(&self, kind: &str, name: &str, version: Version) -> Result<(), PlatformError> {
        self.check()?;
        self.finish(self.platform.delete(kind, name, version).await).await
    }

    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        self.check()?;
        self.finish(self.platform.watch(kinds, after, timeout).await).await
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.check()?;
        self.finish(self.platform.instances().await).await
    }
}
