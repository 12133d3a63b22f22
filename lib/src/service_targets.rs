//! Index of the targets by service.

use std::sync::Arc;

use crate::record::Target;
use crate::record_map::RecordMap;

/// The targets of each service, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceTargets {
    services: RecordMap<Arc<[Arc<Target>]>>,
}

impl ServiceTargets {
    /// Returns the targets of a service, ordered by name; empty for an unknown service.
    pub fn get(&self, service: &str) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], |targets| &**targets)
    }

    /// Replaces the record of a target: `old` is absent for an added target, `new` for a removed
    /// one. The two may belong to different services.
    pub fn replace(&mut self, old: Option<&Arc<Target>>, new: Option<&Arc<Target>>) {
        if let Some(old) = old {
            let kept = self.get(&old.service).iter().filter(|target| target.name != old.name);
            self.set(&old.service, kept.cloned().collect());
        }
        if let Some(new) = new {
            let mut targets = self.get(&new.service).to_vec();
            targets.push(Arc::clone(new));
            targets.sort_by(|a, b| a.name.cmp(&b.name));
            self.set(&new.service, targets);
        }
    }

    fn set(&mut self, service: &str, targets: Vec<Arc<Target>>) {
        self.services.insert(service.into(), targets.into());
    }
}
