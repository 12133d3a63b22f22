//! Background tasks of an instance that read from the platform: the initial listing of the
//! configuration, the watch if the instance is elected for it, and the list of instances.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backoff::backoff;
use crate::kernel::Kernel;
use crate::platform::Platform;
use crate::watcher::{self, Watcher};

/// Shortest interval at which an instance reads the list of instances.
pub const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the eligible members of a data centre together read the list of instances.
/// Each member waits this long times their number, so that the platform's load does not grow with
/// them.
pub const LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(500);
/// Age up to which a configuration received from peers makes an instance's own initial listing
/// unnecessary.
pub const MAX_FRESH_AGE: Duration = Duration::from_secs(10);

/// Keeps the kernel's configuration up to date. Never returns.
pub async fn follow_config(kernel: Arc<Kernel>, platform: Arc<dyn Platform>) {
    let watcher = Watcher::new(Arc::clone(&kernel), Arc::clone(&platform));
    tokio::join!(list_initially(&kernel, &*platform), watcher.run());
}

/// Lists the records once, unless a fresh configuration arrives from peers between two attempts.
async fn list_initially(kernel: &Kernel, platform: &dyn Platform) {
    let mut failures = 0;
    while let Err(err) = watcher::list_and_publish(kernel, platform).await {
        log::warn!("initial listing of the configuration failed: {err}");
        failures += 1;
        tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
        if kernel.configs().age(Instant::now()).is_some_and(|age| age < MAX_FRESH_AGE) {
            return;
        }
    }
}

/// Reads the platform's list of instances at intervals and passes it to the kernel as seeds of the
/// membership gossip. Never returns.
pub async fn follow_instances(kernel: Arc<Kernel>, platform: Arc<dyn Platform>) {
    let mut failures = 0;
    loop {
        match platform.instances().await {
            Ok(listed) => {
                kernel.seed(&listed);
                failures = 0;
                tokio::time::sleep(list_interval(&kernel)).await;
            }
            Err(err) => {
                log::warn!("failed to read the list of instances: {err}");
                failures += 1;
                tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
            }
        }
    }
}

/// Returns the interval at which this instance reads the list of instances; see
/// [`LIST_INTERVAL_PER_MEMBER`].
fn list_interval(kernel: &Kernel) -> Duration {
    let members = kernel.view().eligible_in(kernel.data_centre()).count();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    LIST_INTERVAL_PER_MEMBER.saturating_mul(members).max(MIN_LIST_INTERVAL)
}
