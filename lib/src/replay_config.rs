//! Simulated propagation of configuration changes to the instances of a replay, with a random delay
//! for each instance.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, Version};
use crate::platform::Object;
use crate::random::Random;
use crate::replay_world::Millis;

/// Configuration changes in transit to instances.
#[derive(Debug, Default)]
pub struct ConfigPropagation {
    due: BTreeMap<(Millis, u64), (InstanceId, Object)>,
    sequence: u64,
    frozen: BTreeSet<InstanceId>,
    /// Versions that have not reached every instance, each with the time of its publication and the
    /// instances that still lack it.
    pending: BTreeMap<Version, (Millis, BTreeSet<InstanceId>)>,
    /// Longest time until a version had reached every instance.
    slowest: Option<Millis>,
}

impl ConfigPropagation {
    /// Schedules the delivery of an object to each instance after a random delay below `spread_ms`
    /// milliseconds, or at once when `spread_ms` is 0.
    pub fn publish(
        &mut self,
        now: Millis,
        object: &Object,
        instances: &[InstanceId],
        spread_ms: Millis,
        random: &dyn Random,
    ) {
        for instance in instances {
            self.sequence += 1;
            let at = now + random.below(spread_ms);
            self.due.insert((at, self.sequence), (instance.clone(), object.clone()));
        }
        let waiting = instances.iter().cloned().collect();
        self.pending.insert(object.version, (now, waiting));
    }

    /// Holds back changes to an instance until [`ConfigPropagation::thaw`].
    pub fn freeze(&mut self, instance: &InstanceId) {
        self.frozen.insert(instance.clone());
    }

    /// Resumes the delivery of changes to an instance, including those held back by
    /// [`ConfigPropagation::freeze`].
    pub fn thaw(&mut self, instance: &str) {
        self.frozen.remove(instance);
    }

    /// Removes an instance that ended, so that no change waits for it.
    pub fn remove_instance(&mut self, instance: &str) {
        self.due.retain(|_, (to, _)| to != instance);
        self.frozen.remove(instance);
        for (_, waiting) in self.pending.values_mut() {
            waiting.remove(instance);
        }
    }

    /// Removes and returns the changes that arrive by `now`.
    pub fn take_due(&mut self, now: Millis) -> Vec<(InstanceId, Vec<Object>)> {
        let later = self.due.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.due, later);
        let mut arrived = Vec::new();
        for (key, (instance, object)) in due {
            if self.frozen.contains(&instance) {
                self.due.insert(key, (instance, object));
                continue;
            }
            self.record_arrival(now, &instance, object.version);
            arrived.push((instance, vec![object]));
        }
        arrived
    }

    fn record_arrival(&mut self, now: Millis, instance: &str, version: Version) {
        if let Some((since, waiting)) = self.pending.get_mut(&version) {
            waiting.remove(instance);
            if waiting.is_empty() {
                let elapsed = now - *since;
                self.slowest = Some(self.slowest.map_or(elapsed, |slowest| slowest.max(elapsed)));
                self.pending.remove(&version);
            }
        }
    }

    /// Returns the longest time until a change reached every running instance, in milliseconds, or
    /// nothing when there was no change. Changes in transit count with their age at `now`; changes
    /// in transit to frozen instances only do not count.
    pub fn slowest_propagation(&self, now: Millis) -> Option<Millis> {
        let is_waiting = |waiting: &BTreeSet<InstanceId>| {
            waiting.iter().any(|instance| !self.frozen.contains(instance))
        };
        let in_transit = self.pending.values().filter(|(_, waiting)| is_waiting(waiting));
        let in_transit = in_transit.map(|(since, _)| now - since).max();
        self.slowest.into_iter().chain(in_transit).max()
    }
}
