//! A fleet whose instances follow the configuration of a [`MemoryPlatform`].
//!
//! While simulated time passes, the fleet records the version of each record at each instance, and
//! panics when an instance returns to an older version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::config_digest::LEAF_COUNT;
use hollyhead::fleet::Fleet;
use hollyhead::ids::Version;
use hollyhead::kernel::Kernel;
use hollyhead::platform_sync;
use hollyhead::record::RecordKind;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::memory_platform::MemoryPlatform;
use crate::platform_link::{LinkState, PlatformLink};
use crate::records;

const STEP: Duration = Duration::from_millis(25);

struct Follower {
    link: Arc<PlatformLink>,
    task: JoinHandle<()>,
}

/// A fleet whose instances follow the configuration of a [`MemoryPlatform`].
pub struct ConfigFleet {
    /// The instances with their simulated network.
    pub fleet: Fleet,
    /// The platform, for writes and injected faults.
    pub platform: Arc<MemoryPlatform>,
    followers: BTreeMap<String, Follower>,
    last_versions: BTreeMap<(String, RecordKind, String), Version>,
    last_digests: BTreeMap<String, u64>,
    all_leaves: BTreeSet<u16>,
}

impl ConfigFleet {
    /// Creates a fleet without instances. The clock of the Tokio runtime must be paused.
    pub fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(seed),
            platform: Arc::new(MemoryPlatform::default()),
            followers: BTreeMap::new(),
            last_versions: BTreeMap::new(),
            last_digests: BTreeMap::new(),
            all_leaves: (0..LEAF_COUNT as u16).collect(),
        }
    }

    /// Starts an instance whose link to the platform is up.
    pub fn start(&mut self, name: &str, data_centre: &str) -> Arc<Kernel> {
        self.start_with(name, data_centre, LinkState::Up)
    }

    /// Starts an instance whose link to the platform is in the given state.
    pub fn start_with(&mut self, name: &str, data_centre: &str, state: LinkState) -> Arc<Kernel> {
        let kernel = self.fleet.start(name, data_centre);
        let link = PlatformLink::new(Arc::clone(&self.platform));
        link.set(state);
        let task = tokio::spawn(platform_sync::follow_config(
            Arc::clone(&kernel),
            Arc::clone(&link) as Arc<_>,
        ));
        self.followers.insert(name.into(), Follower { link, task });
        kernel
    }

    /// Stops an instance at once, as in a crash.
    pub fn kill(&mut self, name: &str) {
        if let Some(follower) = self.followers.remove(name) {
            follower.task.abort();
        }
        self.fleet.kill(name);
        self.last_versions.retain(|(instance, _, _), _| instance != name);
    }

    /// Changes the state of an instance's link to the platform. Does nothing for an unknown name.
    pub fn set_link(&self, name: &str, state: LinkState) {
        if let Some(follower) = self.followers.get(name) {
            follower.link.set(state);
        }
    }

    /// Writes the record of a data centre whatever its version, with `state` either `in` or `out`,
    /// and returns its new version.
    pub fn put(&self, name: &str, state: &str) -> Version {
        let body = records::data_centre(name, "horn-east", state);
        self.platform.force_put("data_centre", name, body)
    }

    /// Lets `time` pass, in steps after each of which the versions are checked.
    ///
    /// # Panics
    ///
    /// Panics when an instance has an older version of a record than before.
    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.fleet.run_for(STEP).await;
            self.check_versions();
        }
    }

    /// Lets time pass until every instance has all changes up to a version, and returns the elapsed
    /// time, or `None` if this takes longer than `limit`.
    ///
    /// # Panics
    ///
    /// As for [`ConfigFleet::run_for`].
    pub async fn run_until(&mut self, version: Version, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while !self.is_in_force(version) {
            if start.elapsed() >= limit {
                return None;
            }
            self.run_for(STEP).await;
        }
        Some(start.elapsed())
    }

    /// Returns whether every instance has all changes up to a version.
    pub fn is_in_force(&self, version: Version) -> bool {
        self.fleet.kernels().all(|kernel| kernel.configs().complete_version() >= version)
    }

    fn check_versions(&mut self) {
        for kernel in self.fleet.kernels() {
            let (config, id) = (kernel.config(), kernel.id().to_string());
            let total = config.digest().total();
            if self.last_digests.insert(id, total) == Some(total) {
                continue;
            }
            for record in config.records_in(&self.all_leaves) {
                let place = (kernel.id().to_string(), record.kind, record.name.to_string());
                let previous = self.last_versions.entry(place.clone()).or_default();
                assert!(
                    record.version >= *previous,
                    "version is older than {previous} at {place:?}"
                );
                *previous = record.version;
            }
        }
    }
}
