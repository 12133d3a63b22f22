//! Watching of the platform by at most two instances of a data centre.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Version;
use crate::kernel::Kernel;
use crate::lease::{Lease, RENEW_INTERVAL};
use crate::metrics::Metrics;
use crate::owner::{score, seed};
use crate::platform::{Listing, Object, Platform, PlatformError};
use crate::platform_sync::backoff;
use crate::record::RecordKind;

/// Largest number of watchers of a data centre.
pub const MAX_WATCHERS: usize = 2;
/// How long a watch waits for a change.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two tries to become a watcher.
pub const ACQUIRE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of instances of a data centre that always try to become a watcher.
pub const CANDIDATES_PER_BATCH: usize = 4;
/// Silence of the platform after which further instances try too, one batch after the other.
pub const BACKUP_CANDIDATE_DELAY: Duration = Duration::from_secs(15);
/// Time by which each further batch of candidates waits longer.
pub const BACKUP_BATCH_DELAY: Duration = Duration::from_secs(2);
/// Number of missing records from which a listing that lacks most of a kind is not believed.
pub const MASS_DELETION_MIN_RECORDS: usize = 8;
const KINDS: [&str; 3] = ["service", "target", "data_centre"];

/// Takes part in watching the platform for the data centre of an instance.
pub struct Watcher {
    kernel: Arc<Kernel>,
    platform: Arc<dyn Platform>,
    started: Instant,
    leases: Vec<Lease>,
    renewed: AtomicU64,
}

impl Watcher {
    /// Creates a watcher that holds no lease.
    pub fn new(kernel: Arc<Kernel>, platform: Arc<dyn Platform>) -> Self {
        let (id, epoch) = (kernel.id(), kernel.epoch());
        let lease = |slot| Lease::new(kernel.data_centre(), slot, id.clone(), epoch);
        let leases = (0..MAX_WATCHERS).map(lease).collect();
        let renewed = AtomicU64::new(0);
        Self { platform, started: Instant::now(), leases, renewed, kernel }
    }

    /// Watches whenever it holds a lease; never returns.
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            if !self.is_candidate(Instant::now()) {
                tokio::time::sleep(ACQUIRE_INTERVAL).await;
                continue;
            }
            match self.contend().await {
                Ok(Some(slot)) => self.watch_while_held(slot).await,
                Ok(None) => {
                    failures = 0;
                    tokio::time::sleep(ACQUIRE_INTERVAL).await;
                }
                Err(err) => {
                    log::warn!("lease of a watcher cannot be read: {err}");
                    self.kernel.configs().set_fault(Some(err.to_string()));
                    failures += 1;
                    tokio::time::sleep(backoff(&**self.kernel.random(), failures)).await;
                }
            }
        }
    }

    /// Tells whether this instance tries to become a watcher.
    fn is_candidate(&self, now: Instant) -> bool {
        let view = self.kernel.view();
        let my_score = |id: &str| score(seed("watcher", id), 0);
        let mine = (my_score(self.kernel.id()), self.kernel.id());
        let members = view.eligible_in(self.kernel.data_centre());
        let rank = members.filter(|member| (my_score(&member.id), &member.id) < mine).count();
        let silence = self.kernel.configs().age(now).unwrap_or(now - self.started);
        let batch = u32::try_from(rank / CANDIDATES_PER_BATCH).unwrap_or(u32::MAX);
        batch == 0 || silence >= BACKUP_CANDIDATE_DELAY + BACKUP_BATCH_DELAY.saturating_mul(batch)
    }

    async fn contend(&mut self) -> Result<Option<usize>, PlatformError> {
        for slot in 0..MAX_WATCHERS {
            if self.leases[slot].acquire(&*self.platform).await? {
                return Ok(Some(slot));
            }
        }
        Ok(None)
    }

    async fn watch_while_held(&mut self, slot: usize) {
        log::info!("watching the platform in slot {slot}");
        let lease = &mut self.leases[slot];
        self.renewed.store(lease.version(), Ordering::Relaxed);
        let follower =
            Follower { kernel: &self.kernel, platform: &*self.platform, renewed: &self.renewed };
        tokio::select! {
            () = keep(lease, &*self.platform, &self.renewed) => {}
            () = follower.run() => {}
        }
        log::info!("no longer watching the platform in slot {slot}");
    }
}

/// Renews a lease until it is lost.
async fn keep(lease: &mut Lease, platform: &dyn Platform, renewed: &AtomicU64) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let Some(expires) = lease.expires() else { return };
        match tokio::time::timeout_at(expires, lease.renew(platform)).await {
            Ok(Ok(true)) => renewed.store(lease.version(), Ordering::Relaxed),
            Ok(Ok(false)) | Err(_) => return,
            Ok(Err(err)) => log::warn!("lease not renewed: {err}"),
        }
        if !lease.is_held(Instant::now()) {
            return;
        }
    }
}

/// Follows the platform's records and publishes them.
struct Follower<'a> {
    kernel: &'a Kernel,
    platform: &'a dyn Platform,
    renewed: &'a AtomicU64,
}

impl Follower<'_> {
    async fn run(&self) {
        let mut failures = 0;
        loop {
            let result = match list_all(self.kernel, self.platform).await {
                Ok(version) => {
                    failures = 0;
                    self.watch(version).await
                }
                Err(err) => Err(err),
            };
            if let Err(err) = result {
                log::warn!("configuration cannot be followed: {err}");
                Metrics::count(&self.kernel.metrics.platform_calls, "failed");
                self.kernel.configs().set_fault(Some(err.to_string()));
                failures += 1;
                tokio::time::sleep(backoff(&**self.kernel.random(), failures)).await;
            }
        }
    }

    /// Watches until the watch fails, or returns when it has fallen silent.
    async fn watch(&self, mut version: Version) -> Result<(), PlatformError> {
        loop {
            let expected = self.renewed.load(Ordering::Relaxed);
            let changes = self.platform.watch(&KINDS, version, WATCH_TIMEOUT).await?;
            Metrics::count(&self.kernel.metrics.platform_calls, "watched");
            if changes.objects.is_empty() && changes.version < expected {
                log::warn!("watch is silent at version {version}, the store is at {expected}");
                return Ok(());
            }
            version = version.max(changes.version);
            self.kernel.publish(Instant::now(), &changes.objects, Some(version));
            self.kernel.configs().set_fault(None);
        }
    }
}

/// Lists all records, publishes what is newer and what was deleted, and returns the version up to
/// which the configuration is complete.
///
/// # Errors
///
/// Returns why there is no listing, or [`PlatformError::InvalidResponse`] when a listing lacks most of
/// what is in force.
pub async fn list_all(kernel: &Kernel, platform: &dyn Platform) -> Result<Version, PlatformError> {
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
    kernel.configs().set_fault(None);
    Ok(version)
}

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
