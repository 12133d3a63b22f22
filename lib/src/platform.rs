//! The platform's object API behind a trait object.

use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::Version;

value_type! {
    /// An object as the platform holds it.
    pub struct Object {
        /// Kind, such as `service`.
        pub kind: SmolStr,
        /// Name, unique within the kind.
        pub name: SmolStr,
        /// Version of the last write.
        pub version: Version,
        /// Contents; `None` in a watch when the object was deleted.
        pub body: Option<Value>,
    }

    /// Objects together with the version up to which they are complete.
    pub struct Listing {
        /// Version of the store when it was read.
        pub version: Version,
        /// Objects.
        pub objects: Vec<Object>,
    }

    /// An instance in the platform's lagging list.
    pub struct ListedInstance {
        /// Name of the instance.
        pub name: SmolStr,
        /// Data centre that it runs in.
        pub data_centre: SmolStr,
        /// Address for messages between instances.
        pub peer: std::net::SocketAddr,
        /// Whether the platform is about to take it away.
        pub leaving: bool,
    }
}

copy_type! {
    /// Condition of a write.
    pub enum Precondition {
        /// The object must not exist.
        Absent,
        /// The object must have this version.
        Version(Version),
    }
}

/// Failure of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform did not answer: a write may or may not have taken effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The condition of a write does not hold.
    #[error("{kind}/{name} was changed by someone else")]
    Conflict {
        /// Kind of the object.
        kind: SmolStr,
        /// Name of the object.
        name: SmolStr,
    },
    /// The object does not exist.
    #[error("{kind}/{name} does not exist")]
    NotFound {
        /// Kind of the object.
        kind: SmolStr,
        /// Name of the object.
        name: SmolStr,
    },
    /// The watch's position is no longer kept: list again.
    #[error("watch position was compacted")]
    Compacted,
    /// The platform's answer makes no sense.
    #[error("platform answered nonsense: {0}")]
    InvalidResponse(String),
}

/// The platform's object API.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`], or why there is no answer.
    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError>;

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`], or why there is no answer; after
    /// [`PlatformError::Unavailable`] the write may have taken effect.
    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Value,
        condition: Precondition,
    ) -> Result<Version, PlatformError>;

    /// Deletes an object of a known version.
    ///
    /// # Errors
    ///
    /// As for [`Platform::put`].
    async fn delete(&self, kind: &str, name: &str, version: Version) -> Result<(), PlatformError>;

    /// Waits until an object of some kinds changes after `after`, at most for `timeout`, and
    /// returns the changes. Without changes the version is still that of the store.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Compacted`], or why there is no answer.
    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Returns the lagging list of instances.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}
