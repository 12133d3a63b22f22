//! Configuration in force at one instance, and its propagation between instances.

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

/// Configuration in force at one instance, with the state of its propagation.
pub struct ConfigStore {
    config: RwLock<Arc<Config>>,
    gossip: Mutex<ConfigGossip>,
    platform_fault: Mutex<Option<String>>,
}

impl ConfigStore {
    /// Creates a store without records, which propagates changes through `gossip`.
    pub fn new(gossip: ConfigGossip) -> Self {
        Self {
            config: RwLock::default(),
            gossip: Mutex::new(gossip),
            platform_fault: Mutex::default(),
        }
    }

    /// Returns the snapshot in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read())
    }

    /// Returns the version up to which this instance has received every change.
    pub fn complete_version(&self) -> Version {
        self.gossip.lock().complete()
    }

    /// Returns the version up to which every change is in force at this instance. It is lower than
    /// the version of any refused record.
    pub fn in_force_version(&self) -> Version {
        let refused = self.config().refused().map(|err| err.version).min();
        refused
            .map_or(Version::MAX, |version| version.saturating_sub(1))
            .min(self.complete_version())
    }

    /// Returns the time since a watcher last received an answer from the platform, as far as this
    /// instance knows; `None` if it knows of no answer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.gossip.lock().age(now)
    }

    /// Returns the last error of reading the configuration, or the lease of a watcher, from the
    /// platform; `None` if the configuration has been read since then.
    pub fn platform_fault(&self) -> Option<String> {
        self.platform_fault.lock().clone()
    }

    /// Records an error of the platform, or `None` after the configuration has been read.
    pub fn set_platform_fault(&self, fault: Option<String>) {
        *self.platform_fault.lock() = fault;
    }

    /// Applies the objects that are newer than the known versions, and returns the errors of those
    /// that were refused.
    pub fn apply(&self, objects: &[Object]) -> Vec<RecordError> {
        let mut config = self.config.write();
        if !objects.iter().any(|object| is_newer(&config, object)) {
            return Vec::new();
        }
        let (next, errors) = config.apply(objects);
        *config = Arc::new(next);
        for err in &errors {
            log::error!("record refused; the last valid version stays in force: {err}");
        }
        errors
    }

    /// Applies objects read from the platform, and returns the messages that send the newer ones to
    /// other instances. `complete` is the version up to which the objects include every change, if
    /// that version is known.
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

    /// Handles a message from another instance, and returns the messages to send.
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

    /// Performs the retransmissions and comparisons that are due, and returns the messages to send.
    pub fn tick(&self, now: Instant, view: &View) -> Vec<Outgoing> {
        let config = self.config();
        self.gossip.lock().tick(now, view, &config)
    }

    /// Applies objects, and returns those that were newer than the known versions.
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
