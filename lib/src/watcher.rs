//! Watch of the platform by at most two instances of each data centre, which leases elect. The
//! other instances receive the changes by configuration propagation.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backoff::backoff;
use crate::ids::Version;
use crate::kernel::Kernel;
use crate::lease::{Lease, RENEW_INTERVAL};
use crate::metrics::Metrics;
use crate::owner::{score, seed};
use crate::platform::{Listing, Object, Platform, PlatformError};
use crate::record::RecordKind;

/// Largest number of watchers in a data centre: each slot has a lease.
pub const MAX_WATCHERS: usize = 2;
/// Time for which a watch call waits for a change.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a candidate tries to acquire a lease.
pub const ACQUIRE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of instances in each batch of candidates. The first batch of a data centre always tries
/// to acquire a lease, so that the platform's load does not grow with the data centre.
pub const CANDIDATES_PER_BATCH: usize = 4;
/// Time without contact to the platform after which further batches of candidates try to acquire a
/// lease, because the first batch may be unable to reach the platform.
pub const BACKUP_CANDIDATE_DELAY: Duration = Duration::from_secs(15);
/// Additional time that each further batch of candidates waits after the batch before it.
pub const BACKUP_BATCH_DELAY: Duration = Duration::from_secs(2);
/// Minimum number of missing records of a kind for which a listing is rejected, provided that they
/// are more than half of the known ones. A faulty listing thus does not delete the configuration.
pub const MASS_DELETION_MIN_RECORDS: usize = 8;
const KINDS: [&str; 3] = ["service", "target", "data_centre"];

/// Candidate for the watch of the platform in the data centre of its instance.
pub struct Watcher {
    kernel: Arc<Kernel>,
    platform: Arc<dyn Platform>,
    started: Instant,
    leases: Vec<Lease>,
    renewed_version: AtomicU64,
}

impl Watcher {
    /// Creates a candidate that holds no lease.
    pub fn new(kernel: Arc<Kernel>, platform: Arc<dyn Platform>) -> Self {
        let (id, epoch) = (kernel.id(), kernel.epoch());
        let lease = |slot| Lease::new(kernel.data_centre(), slot, id.clone(), epoch);
        let leases = (0..MAX_WATCHERS).map(lease).collect();
        let renewed_version = AtomicU64::new(0);
        Self { platform, started: Instant::now(), leases, renewed_version, kernel }
    }

    /// Tries to acquire a lease, and watches the platform while it holds one. Never returns.
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            if !self.is_candidate(Instant::now()) {
                tokio::time::sleep(ACQUIRE_INTERVAL).await;
                continue;
            }
            match self.acquire_any().await {
                Ok(Some(slot)) => self.watch_while_held(slot).await,
                Ok(None) => {
                    failures = 0;
                    tokio::time::sleep(ACQUIRE_INTERVAL).await;
                }
                Err(err) => {
                    log::warn!("failed to acquire a watcher lease: {err}");
                    self.kernel.configs().set_platform_fault(Some(err.to_string()));
                    failures += 1;
                    tokio::time::sleep(backoff(&**self.kernel.random(), failures)).await;
                }
            }
        }
    }

    /// Returns whether this instance tries to acquire a lease. Candidates are ranked by the hash of
    /// their names.
    fn is_candidate(&self, now: Instant) -> bool {
        let view = self.kernel.view();
        let rank_score = |id: &str| score(seed("watcher", id), 0);
        let mine = (rank_score(self.kernel.id()), self.kernel.id());
        let members = view.eligible_in(self.kernel.data_centre());
        let rank = members.filter(|member| (rank_score(&member.id), &member.id) < mine).count();
        let contact_age = self.kernel.configs().age(now).unwrap_or(now - self.started);
        let batch = u32::try_from(rank / CANDIDATES_PER_BATCH).unwrap_or(u32::MAX);
        batch == 0
            || contact_age >= BACKUP_CANDIDATE_DELAY + BACKUP_BATCH_DELAY.saturating_mul(batch)
    }

    async fn acquire_any(&mut self) -> Result<Option<usize>, PlatformError> {
        for slot in 0..MAX_WATCHERS {
            if self.leases[slot].acquire(&*self.platform).await? {
                return Ok(Some(slot));
            }
        }
        Ok(None)
    }

    async fn watch_while_held(&mut self, slot: usize) {
        log::info!("acquired watcher slot {slot}, watching the platform");
        let lease = &mut self.leases[slot];
        self.renewed_version.store(lease.version(), Ordering::Relaxed);
        let follower = Follower {
            kernel: &self.kernel,
            platform: &*self.platform,
            renewed_version: &self.renewed_version,
        };
        tokio::select! {
            () = renew_until_lost(lease, &*self.platform, &self.renewed_version) => {}
            () = follower.run() => {}
        }
        log::info!("lost watcher slot {slot}, no longer watching the platform");
    }
}

/// Renews a lease at intervals, and returns when it is lost.
async fn renew_until_lost(lease: &mut Lease, platform: &dyn Platform, renewed_version: &AtomicU64) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let Some(expires) = lease.expires() else { return };
        match tokio::time::timeout_at(expires, lease.renew(platform)).await {
            Ok(Ok(true)) => renewed_version.store(lease.version(), Ordering::Relaxed),
            Ok(Ok(false)) | Err(_) => return,
            Ok(Err(err)) => log::warn!("failed to renew the watcher lease: {err}"),
        }
        if !lease.is_held(Instant::now()) {
            return;
        }
    }
}

/// Lists and watches the platform's records, and publishes them to the other instances.
struct Follower<'a> {
    kernel: &'a Kernel,
    platform: &'a dyn Platform,
    renewed_version: &'a AtomicU64,
}

impl Follower<'_> {
    async fn run(&self) {
        let mut failures = 0;
        loop {
            let result = match list_and_publish(self.kernel, self.platform).await {
                Ok(version) => {
                    failures = 0;
                    self.watch(version).await
                }
                Err(err) => Err(err),
            };
            if let Err(err) = result {
                log::warn!("failed to list or watch the configuration: {err}");
                Metrics::count(&self.kernel.metrics.platform_calls, "failed");
                self.kernel.configs().set_platform_fault(Some(err.to_string()));
                failures += 1;
                tokio::time::sleep(backoff(&**self.kernel.random(), failures)).await;
            }
        }
    }

    /// Watches the records from `version` on. Returns when the watch has stalled: it reports no
    /// changes at a version older than the last renewal of this instance's own lease.
    async fn watch(&self, mut version: Version) -> Result<(), PlatformError> {
        loop {
            let expected = self.renewed_version.load(Ordering::Relaxed);
            let changes = self.platform.watch(&KINDS, version, WATCH_TIMEOUT).await?;
            Metrics::count(&self.kernel.metrics.platform_calls, "watched");
            if changes.objects.is_empty() && changes.version < expected {
                log::warn!(
                    "watch stalled at version {version}, platform is at {expected}; listing again"
                );
                return Ok(());
            }
            version = version.max(changes.version);
            self.kernel.publish(Instant::now(), &changes.objects, Some(version));
            self.kernel.configs().set_platform_fault(None);
        }
    }
}

/// Lists all records, publishes new, changed and deleted ones, and returns the version up to which
/// the configuration is complete.
///
/// # Errors
///
/// Returns an error if a call to the platform fails, or [`PlatformError::InvalidResponse`] if a
/// listing omits at least [`MASS_DELETION_MIN_RECORDS`] of the known records of a kind and more
/// than half of them.
pub async fn list_and_publish(
    kernel: &Kernel,
    platform: &dyn Platform,
) -> Result<Version, PlatformError> {
    let mut version = Version::MAX;
    let mut objects = Vec::new();
    for kind in RecordKind::ALL {
        let listing = platform.list(kind.name()).await?;
        Metrics::count(&kernel.metrics.platform_calls, "listed");
        objects.extend(deletions(kernel, kind, &listing)?);
        version = version.min(listing.version);
        objects.extend(listing.objects);
    }
    kernel.publish(Instant::now(), &objects, Some(version));
    kernel.configs().set_platform_fault(None);
    Ok(version)
}

/// Returns deletions of the records that a listing of their kind lacks.
fn deletions(
    kernel: &Kernel,
    kind: RecordKind,
    listing: &Listing,
) -> Result<Vec<Object>, PlatformError> {
    let config = kernel.config();
    let (deleted, known) = (config.deletions(kind, listing), config.len(kind));
    if deleted.len() >= MASS_DELETION_MIN_RECORDS && deleted.len() * 2 > known {
        let (kind, missing) = (kind.name(), deleted.len());
        let reason = format!("listing lacks {missing} of {known} records of kind {kind}");
        return Err(PlatformError::InvalidResponse(reason));
    }
    Ok(deleted)
}
