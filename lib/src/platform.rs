//! The trait of clients of the platform's object API, with its objects and errors.

use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::Version;

value_type! {
    /// An object in the platform's store.
    pub struct Object {
        /// Kind, such as `service`.
        pub kind: SmolStr,
        /// Name, unique within the kind.
        pub name: SmolStr,
        /// Version of the last write.
        pub version: Version,
        /// Contents, or `None` in the result of a watch if the object was deleted.
        pub body: Option<Value>,
    }

    /// Result of a list or watch call.
    pub struct Listing {
        /// Version of the store at the time of the read, up to which the objects are complete.
        pub version: Version,
        /// All objects of a kind for a list call, the changed ones for a watch.
        pub objects: Vec<Object>,
    }

    /// An instance in the platform's list of instances, which may be out of date.
    pub struct ListedInstance {
        /// Name of the instance.
        pub name: SmolStr,
        /// Data centre that it runs in.
        pub data_centre: SmolStr,
        /// Address for messages between instances.
        pub peer: std::net::SocketAddr,
        /// Whether the platform is about to remove the instance.
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

/// Reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform did not answer. A write may or may not have taken effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The condition of a write or deletion does not hold.
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
    /// The platform no longer keeps the changes after the version from which a watch starts. The
    /// caller has to list the objects again.
    #[error("watch position was compacted")]
    Compacted,
    /// The platform's response cannot be decoded, has an unexpected status or is implausible.
    #[error("platform answered nonsense: {0}")]
    InvalidResponse(String),
}

/// Client of the platform's object API.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] if the object does not exist, or the failure of the
    /// call.
    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError>;

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the condition does not hold, or the failure of the
    /// call. After [`PlatformError::Unavailable`] the write may have taken effect.
    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Value,
        condition: Precondition,
    ) -> Result<Version, PlatformError>;

    /// Deletes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// As for [`Platform::put`].
    async fn delete(&self, kind: &str, name: &str, version: Version) -> Result<(), PlatformError>;

    /// Waits for at most `timeout` until an object of one of the kinds has a version greater than
    /// `after`, and returns all such objects. Without changes, the returned version is still that
    /// of the store.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Compacted`] if the changes after `after` are no longer kept, or the
    /// failure of the call.
    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Returns the list of instances, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}
