//! A fleet whose instances follow the configuration of a platform in memory.
//!
//! While time passes, it notes the versions at every instance and panics when one falls.

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

/// A fleet whose instances follow the configuration of a platform in memory.
pub struct ConfigFleet {
    /// Instances.
    pub fleet: Fleet,
    /// Platform.
    pub platform: Arc<MemoryPlatform>,
    followers: BTreeMap<String, Follower>,
    seen: BTreeMap<(String, RecordKind, String), Version>,
    checked: BTreeMap<String, u64>,
    leaves: BTreeSet<u16>,
}

impl ConfigFleet {
    /// Creates a fleet without instances. The runtime's clock must be paused.
    pub fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(seed),
            platform: Arc::new(MemoryPlatform::default()),
            followers: BTreeMap::new(),
            seen: BTreeMap::new(),
            checked: BTreeMap::new(),
            leaves: (0..LEAF_COUNT as u16).collect(),
        }
    }

    /// Starts an instance that follows the platform.
    pub fn start(&mut self, name: &str, data_centre: &str) -> Arc<Kernel> {
        self.start_with(name, data_centre, LinkState::Up)
    }

    /// Starts an instance whose link to the platform is in a given state.
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

    /// Ends an instance at once.
    pub fn kill(&mut self, name: &str) {
        if let Some(follower) = self.followers.remove(name) {
            follower.task.abort();
        }
        self.fleet.kill(name);
        self.seen.retain(|(instance, _, _), _| instance != name);
    }

    /// Changes the state of an instance's link to the platform.
    pub fn set_link(&self, name: &str, state: LinkState) {
        if let Some(follower) = self.followers.get(name) {
            follower.link.set(state);
        }
    }

    /// Writes a data centre's record, whatever its version.
    pub fn put(&self, name: &str, state: &str) -> Version {
        let body = records::data_centre(name, "horn-east", state);
        self.platform.force_put("data_centre", name, body)
    }

    /// Lets time pass.
    ///
    /// # Panics
    ///
    /// Panics when the version of a record falls at an instance.
    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.fleet.run_for(STEP).await;
            self.check_versions();
        }
    }

    /// Lets time pass until the version is in force at every instance, and returns the time that
    /// took; `None` when it took longer than `limit`.
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

    /// Tells whether every instance has all changes up to a version.
    pub fn is_in_force(&self, version: Version) -> bool {
        self.fleet.kernels().all(|kernel| kernel.configs().complete_version() >= version)
    }

    fn check_versions(&mut self) {
        for kernel in self.fleet.kernels() {
            let (config, id) = (kernel.config(), kernel.id().to_string());
            let total = config.digest().total();
            if self.checked.insert(id, total) == Some(total) {
                continue;
            }
            for record in config.records_in(&self.leaves) {
                let place = (kernel.id().to_string(), record.kind, record.name.to_string());
                let seen = self.seen.entry(place.clone()).or_default();
                assert!(record.version >= *seen, "version fell from {seen} at {place:?}");
                *seen = record.version;
            }
        }
    }
}
