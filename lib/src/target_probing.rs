//! Periodic probes of the targets whose capacity this instance allocates.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::health::HealthProbe;
use crate::kernel::Kernel;

/// Pause between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Probes the targets whose capacity this instance allocates, one after another, in rounds
/// separated by [`PROBE_INTERVAL`]. Never returns.
pub async fn probe_allocated_targets(kernel: Arc<Kernel>, probe: Arc<dyn HealthProbe>) {
    loop {
        for target in kernel.targets_with_local_allocator() {
            let health = probe.probe(&target).await;
            kernel.note_health(&target, health, Instant::now());
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
