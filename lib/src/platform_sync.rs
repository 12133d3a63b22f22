//! What an instance asks of the platform: its first listing, its share of watching, and hints
//! about other instances.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::kernel::Kernel;
use crate::platform::Platform;
use crate::random::Random;
use crate::watcher::{self, Watcher};

/// Longest pause after a failed call.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Shortest time between two readings of the list of instances.
pub const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two readings of the list of instances by a whole data centre.
pub const LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(500);
/// Age of the configuration up to which an instance needs no listing of its own.
pub const FRESH: Duration = Duration::from_secs(10);
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Keeps the kernel's configuration up to date; never returns.
pub async fn follow_config(kernel: Arc<Kernel>, platform: Arc<dyn Platform>) {
    let watcher = Watcher::new(Arc::clone(&kernel), Arc::clone(&platform));
    tokio::join!(list_once(&kernel, &*platform), watcher.run());
}

/// Reads the records from the platform once, unless peers bring them first.
async fn list_once(kernel: &Kernel, platform: &dyn Platform) {
    let mut failures = 0;
    while let Err(err) = watcher::list_all(kernel, platform).await {
        log::warn!("first listing of the configuration failed: {err}");
        failures += 1;
        tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
        if kernel.configs().age(Instant::now()).is_some_and(|age| age < FRESH) {
            return;
        }
    }
}

/// Keeps the kernel's hints about instances up to date; never returns.
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
                log::warn!("list of instances cannot be read: {err}");
                failures += 1;
                tokio::time::sleep(backoff(&**kernel.random(), failures)).await;
            }
        }
    }
}

/// Returns a pause with full jitter whose bound doubles with each failure.
pub fn backoff(random: &dyn Random, failures: u32) -> Duration {
    let bound = MIN_BACKOFF.saturating_mul(1 << failures.min(16)).min(MAX_BACKOFF);
    let bound = u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(random.below(bound + 1))
}

/// Returns the time between two readings of the list of instances, which grows with the data
/// centre so that the platform's load does not.
fn list_interval(kernel: &Kernel) -> Duration {
    let members = kernel.view().eligible_in(kernel.data_centre()).count();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    LIST_INTERVAL_PER_MEMBER.saturating_mul(members).max(LIST_INTERVAL)
}
