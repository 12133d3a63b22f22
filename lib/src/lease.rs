//! Lease that the platform keeps, so that few instances of a data centre watch the platform.
//!
//! A lease is an object that its holder renews by conditional writes. The holder takes its end from
//! its own clock, read before the write that renewed it. Others take it over after its version has
//! stood still for the whole lease time on their own clock, which is later. A holder that was
//! paused past the end finds out when it reads its clock; what it sends before that is harmless,
//! since receivers only move to larger versions.

use std::time::Duration;

use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use crate::ids::{Epoch, InstanceId, Version};
use crate::platform::{Object, Platform, PlatformError, Precondition};

/// Kind of leases in the platform.
pub const LEASE_KIND: &str = "lease";
/// Time from a renewal to the end of the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// Contents of a lease.
    pub struct LeaseBody {
        /// Instance that holds the lease.
        pub holder: InstanceId,
        /// Run of the holder.
        pub epoch: Epoch,
        /// Number of the renewal.
        pub renewal: u64,
    }
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    version: Version,
    since: Instant,
}

/// One lease, as one instance sees it.
#[derive(Debug)]
pub struct Lease {
    name: SmolStr,
    me: InstanceId,
    epoch: Epoch,
    renewal: u64,
    version: Version,
    expires: Option<Instant>,
    observed: Option<Observed>,
}

impl Lease {
    /// Creates the lease of a watcher's slot in a data centre, not held.
    pub fn new(data_centre: &str, slot: usize, me: InstanceId, epoch: Epoch) -> Self {
        Self {
            name: format_smolstr!("watcher-{data_centre}-{slot}"),
            me,
            epoch,
            renewal: 0,
            version: 0,
            expires: None,
            observed: None,
        }
    }

    /// Tells whether this instance holds the lease.
    pub fn is_held(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// Returns when the lease ends if it is not renewed.
    pub fn expires(&self) -> Option<Instant> {
        self.expires
    }

    /// Returns the version of the last renewal.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Takes the lease if it is free, or renews it; returns whether this instance holds it.
    ///
    /// # Errors
    ///
    /// Returns why the platform cannot tell; a lease that is held stays so until its end.
    pub async fn acquire(&mut self, platform: &dyn Platform) -> Result<bool, PlatformError> {
        let condition = match platform.get(LEASE_KIND, &self.name).await {
            Ok(object) if self.may_take(&object, Instant::now()) => {
                Precondition::Version(object.version)
            }
            Ok(_) => {
                self.expires = None;
                return Ok(false);
            }
            Err(PlatformError::NotFound { .. }) => Precondition::Absent,
            Err(err) => return Err(err),
        };
        self.write(platform, condition).await
    }

    /// Renews the lease by the version of the last renewal; returns whether this instance holds it.
    ///
    /// # Errors
    ///
    /// Returns why the platform cannot tell; a lease that is held stays so until its end.
    pub async fn renew(&mut self, platform: &dyn Platform) -> Result<bool, PlatformError> {
        let condition = Precondition::Version(self.version());
        if self.write(platform, condition).await? {
            return Ok(true);
        }
        self.acquire(platform).await
    }

    async fn write(
        &mut self,
        platform: &dyn Platform,
        condition: Precondition,
    ) -> Result<bool, PlatformError> {
        let started = Instant::now();
        self.renewal += 1;
        let (holder, epoch, renewal) = (self.me.clone(), self.epoch, self.renewal);
        let body = serde_json::to_value(LeaseBody { holder, epoch, renewal })
            .map_err(|err| PlatformError::InvalidResponse(err.to_string()))?;
        match platform.put(LEASE_KIND, &self.name, body, condition).await {
            Ok(version) => {
                self.version = version;
                self.expires = Some(started + LEASE_DURATION);
                Ok(true)
            }
            Err(PlatformError::Conflict { .. }) => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Tells whether a lease is this instance's own, or has stood still for the lease time.
    fn may_take(&mut self, object: &Object, now: Instant) -> bool {
        let body = object.body.clone().unwrap_or_default();
        let body: Option<LeaseBody> = serde_json::from_value(body).ok();
        if body.is_some_and(|body| body.holder == self.me && body.epoch == self.epoch) {
            return true;
        }
        let observed = self.observed.filter(|observed| observed.version == object.version);
        let observed = observed.unwrap_or(Observed { version: object.version, since: now });
        self.observed = Some(observed);
        now >= observed.since + LEASE_DURATION
    }
}
