//! Object by which an instance tells operators' tools where its admin address is.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::{DataCentreId, Epoch};
use crate::kernel::Kernel;
use crate::platform::{Platform, PlatformError, Precondition};
use crate::platform_sync::backoff;

/// Kind of announcements in the platform.
pub const INSTANCE_KIND: &str = "instance";

value_type! {
    /// Where an instance can be asked for its status.
    pub struct Announcement {
        /// Data centre that it runs in.
        pub data_centre: DataCentreId,
        /// Number of its run.
        pub epoch: Epoch,
        /// Address of metrics, health and status.
        pub admin: SocketAddr,
    }
}

/// Returns the address under which others reach an admin address that may be bound to all
/// interfaces.
pub fn reachable_address(admin: SocketAddr, peer: SocketAddr) -> SocketAddr {
    if admin.ip().is_unspecified() {
        return SocketAddr::new(peer.ip(), admin.port());
    }
    admin
}

/// Writes the announcement of an instance, and tries again until that has succeeded.
pub async fn announce(kernel: Arc<Kernel>, platform: Arc<dyn Platform>, admin: SocketAddr) {
    let mut failures = 0;
    while let Err(err) = write(&kernel, &*platform, admin).await {
        log::warn!("admin address not announced: {err}");
        failures += 1;
        tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
    }
}

async fn write(
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
        .map_err(|err| PlatformError::Nonsense(err.to_string()))?;
    platform.put(INSTANCE_KIND, kernel.id(), body, condition).await?;
    Ok(())
}
