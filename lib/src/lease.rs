//! Leases stored in the platform, which limit the number of instances of a data centre that watch
//! the platform.
//!
//! A lease is an object that its holder renews by conditional writes. The holder computes the
//! expiry from its own clock, read before the write that renewed the lease. Other instances may
//! take the lease over once its version has not changed for the whole lease duration by their own
//! clock. They start to count after the write, so that they never take the lease over before it
//! expires. A holder that was paused past the expiry detects this when it next reads its clock.
//! Messages that it sends before are harmless, since receivers only accept records of larger
//! versions.

use std::time::Duration;

use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use crate::ids::{Epoch, InstanceId, Version};
use crate::platform::{Object, Platform, PlatformError, Precondition};

/// Kind of the platform objects that are leases.
pub const LEASE_KIND: &str = "lease";
/// Time from a renewal to the expiry of the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Interval at which the holder renews a lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// Contents of a lease object.
    pub struct LeaseBody {
        /// Instance that holds the lease.
        pub holder: InstanceId,
        /// Number of the holder's run.
        pub epoch: Epoch,
        /// Number of the renewal in the holder's run.
        pub renewal: u64,
    }
}

/// Version of a lease, with the time at which this instance first read it.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: Version,
    first_read: Instant,
}

/// The state of a lease at one instance, which may or may not hold it.
#[derive(Debug)]
pub struct Lease {
    name: SmolStr,
    id: InstanceId,
    epoch: Epoch,
    renewal: u64,
    version: Version,
    expires: Option<Instant>,
    observed: Option<Observed>,
}

impl Lease {
    /// Creates the state of the lease for a watcher slot of a data centre, which `id` does not hold
    /// yet.
    pub fn new(data_centre: &str, slot: usize, id: InstanceId, epoch: Epoch) -> Self {
        Self {
            name: format_smolstr!("watcher-{data_centre}-{slot}"),
            id,
            epoch,
            renewal: 0,
            version: 0,
            expires: None,
            observed: None,
        }
    }

    /// Returns whether this instance holds the lease.
    pub fn is_held(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// Returns when the lease expires unless it is renewed, or `None` if this instance does not
    /// hold it.
    pub fn expires(&self) -> Option<Instant> {
        self.expires
    }

    /// Returns the version of this instance's last renewal, or 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Acquires the lease if no other instance holds it, or renews it if this instance does.
    /// Returns whether this instance holds the lease.
    ///
    /// # Errors
    ///
    /// Returns the failure of a call to the platform. A lease that is held stays held until it
    /// expires.
    pub async fn acquire(&mut self, platform: &dyn Platform) -> Result<bool, PlatformError> {
        let condition = match platform.get(LEASE_KIND, &self.name).await {
            Ok(object) if self.may_acquire(&object, Instant::now()) => {
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

    /// Renews the lease on the condition that its version is still that of the last renewal, and
    /// otherwise tries to acquire it. Returns whether this instance holds the lease.
    ///
    /// # Errors
    ///
    /// Returns the failure of a call to the platform. A lease that is held stays held until it
    /// expires.
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
        let (holder, epoch, renewal) = (self.id.clone(), self.epoch, self.renewal);
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

    /// Returns whether this instance may write a lease: its run holds the lease already, or the
    /// version has not changed for the whole lease duration.
    fn may_acquire(&mut self, object: &Object, now: Instant) -> bool {
        let body = object.body.clone().unwrap_or_default();
        let body: Option<LeaseBody> = serde_json::from_value(body).ok();
        if body.is_some_and(|body| body.holder == self.id && body.epoch == self.epoch) {
            return true;
        }
        let observed = self.observed.filter(|observed| observed.version == object.version);
        let observed = observed.unwrap_or(Observed { version: object.version, first_read: now });
        self.observed = Some(observed);
        now >= observed.first_read + LEASE_DURATION
    }
}
