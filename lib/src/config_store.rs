//! Configuration in force at one instance, and its exchange with other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::config::{Config, RecordError};
use crate::config_gossip::{ConfigGossip, Outgoing};
use crate::config_message::ConfigMessage;
use crate::ids::{InstanceId, Version};
use crate::platform::Object;
use crate::record::RecordKind;
use crate::view::View;

/// Configuration in force at one instance.
pub struct ConfigStore {
    config: RwLock<Arc<Config>>,
    gossip: Mutex<ConfigGossip>,
    fault: Mutex<Option<String>>,
}

impl ConfigStore {
    /// Creates a store without records.
    pub fn new(gossip: ConfigGossip) -> Self {
        Self { config: RwLock::default(), gossip: Mutex::new(gossip), fault: Mutex::default() }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read())
    }

    /// Returns the version up to which this instance has every change.
    pub fn complete(&self) -> Version {
        self.gossip.lock().complete()
    }

    /// Returns the version up to which every change is in force here: one that cannot be read is
    /// not.
    pub fn in_force(&self) -> Version {
        let refused = self.config().refused().map(|err| err.version).min();
        refused.map_or(Version::MAX, |version| version.saturating_sub(1)).min(self.complete())
    }

    /// Returns the time since a watcher heard the platform, as far as this instance knows.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.gossip.lock().age(now)
    }

    /// Returns the last fault of the platform, or `None` when its last answer was good.
    pub fn fault(&self) -> Option<String> {
        self.fault.lock().clone()
    }

    /// Notes a fault of the platform, or that its last answer was good.
    pub fn set_fault(&self, fault: Option<String>) {
        *self.fault.lock() = fault;
    }

    /// Applies objects that are newer than what is known.
    pub fn apply(&self, objects: &[Object]) -> Vec<RecordError> {
        let mut config = self.config.write();
        if !objects.iter().any(|object| is_newer(&config, object)) {
            return Vec::new();
        }
        let (next, errors) = config.apply(objects);
        *config = Arc::new(next);
        for err in &errors {
            log::error!("record refused, the last good one stays in force: {err}");
        }
        errors
    }

    /// Applies objects that the platform gave, and returns the messages that pass the newer ones
    /// on. `complete` is the version up to which they hold every change, if it is known.
    pub fn publish(
        &self,
        now: Instant,
        view: &View,
        objects: &[Object],
        complete: Option<Version>,
    ) -> Vec<Outgoing> {
        let newer = self.apply_newer(objects);
        let config = self.config();
        let mut gossip = self.gossip.lock();
        if let Some(complete) = complete {
            gossip.record_platform_contact(now, complete);
        }
        gossip.push(now, view, &config, &newer)
    }

    /// Handles a message of another instance, and returns the messages to send.
    pub fn handle(
        &self,
        now: Instant,
        view: &View,
        sender: &InstanceId,
        from: SocketAddr,
        message: ConfigMessage,
    ) -> Vec<Outgoing> {
        let config = self.config();
        let handled = self.gossip.lock().handle(now, view, &config, sender, from, message);
        let newer = self.apply_newer(&handled.objects);
        let (config, mut outgoing) = (self.config(), handled.outgoing);
        let mut gossip = self.gossip.lock();
        if handled.push && !newer.is_empty() {
            outgoing.extend(gossip.push(now, view, &config, &newer));
        }
        if !newer.is_empty() {
            gossip.advance_compare(now);
        }
        if let Some(summary) = handled.summary {
            gossip.merge_summary(now, &summary, &config);
        }
        outgoing
    }

    /// Does what is due, and returns the messages to send.
    pub fn tick(&self, now: Instant, view: &View) -> Vec<Outgoing> {
        let config = self.config();
        self.gossip.lock().tick(now, view, &config)
    }

    /// Applies objects, and returns those that were newer than what was known.
    fn apply_newer(&self, objects: &[Object]) -> Vec<Object> {
        let config = self.config();
        let newer: Vec<_> =
            objects.iter().filter(|object| is_newer(&config, object)).cloned().collect();
        self.apply(&newer);
        newer
    }
}

fn is_newer(config: &Config, object: &Object) -> bool {
    let kind = RecordKind::from_name(&object.kind);
    kind.is_some_and(|kind| object.version > config.version_of(kind, &object.name))
}
