//! Object in the platform through which an instance publishes its admin address to the operators'
//! tools.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backoff::backoff;
use crate::ids::{DataCentreId, Epoch};
use crate::kernel::Kernel;
use crate::platform::{Platform, PlatformError, Precondition};

/// Kind of the platform objects that hold announcements.
pub const INSTANCE_KIND: &str = "instance";

value_type! {
    /// Address at which an instance serves its status.
    pub struct Announcement {
        /// Data centre that the instance runs in.
        pub data_centre: DataCentreId,
        /// Epoch of the instance, which distinguishes this run from earlier ones.
        pub epoch: Epoch,
        /// Address at which the instance serves metrics, health checks and status.
        pub admin: SocketAddr,
    }
}

/// Returns the address at which other hosts reach the admin address `admin`. If `admin` is bound to
/// all interfaces, the address has the IP address of `peer`.
pub fn reachable_address(admin: SocketAddr, peer: SocketAddr) -> SocketAddr {
    if admin.ip().is_unspecified() {
        return SocketAddr::new(peer.ip(), admin.port());
    }
    admin
}

/// Writes the announcement of an instance to the platform, and retries with backoff until the write
/// succeeds.
pub async fn announce(kernel: Arc<Kernel>, platform: Arc<dyn Platform>, admin: SocketAddr) {
    let mut failures = 0;
    while let Err(err) = write_announcement(&kernel, &*platform, admin).await {
        log::warn!("cannot announce admin address {admin}, will retry: {err}");
        failures += 1;
        tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
    }
}

async fn write_announcement(
    kernel: &Kernel,
    platform: &dyn Platform,
    admin: SocketAddr,
) -> Result<(), PlatformError> {
    let condition = match platform.get(INSTANCE_KIND, kernel.id()).await {
        Ok(object) => Precondition::Version(object.version),
        Err(PlatformError::NotFound { .. }) => Precondition::Absent,
        Err(err) => return Err(err),
    };
    let (data_centre, epoch) = (kernel.data_centre().clone(), kernel.epoch());
    let body = serde_json::to_value(Announcement { data_centre, epoch, admin })
        .map_err(|err| PlatformError::InvalidResponse(err.to_string()))?;
    platform.put(INSTANCE_KIND, kernel.id(), body, condition).await?;
    Ok(())
}
