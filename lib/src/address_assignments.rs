//! Assignments of addresses to targets, as one instance has observed them.
//!
//! An address may move from one target to another while instances still hold grants for the former
//! one. The allocator therefore grants capacity of the new target only once all grants for the
//! former one have expired or been revoked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::config::Config;
use crate::grant::OPEN_FLOW_LIFETIME;
use crate::ids::{ServiceId, TargetId};
use crate::record::Target;

#[derive(Debug, PartialEq, Eq)]
struct Assignment {
    service: ServiceId,
    target: TargetId,
    origin: AssignmentOrigin,
}

/// What the instance knows of the former targets of an address, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssignmentOrigin {
    /// No other target had the address before.
    NewAddress,
    /// The assignment was part of the first configuration that the instance received, so former
    /// targets of the address are unknown.
    AtStart(Instant),
    /// Another target had the address before.
    Reassigned(Instant),
}

/// The target that each address is assigned to, and since when.
#[derive(Debug, Default)]
pub struct AddressAssignments {
    assignments: BTreeMap<SocketAddr, Assignment>,
    version: Option<u64>,
}

impl AddressAssignments {
    /// Records the addresses of a configuration. An address that no target has any longer keeps its
    /// last assignment, so that a later target of it counts as a reassignment.
    pub fn observe(&mut self, config: &Config, now: Instant) {
        if self.version == Some(config.version()) {
            return;
        }
        let is_initial_config = self.version.replace(config.version()).is_none();
        for target in config.targets() {
            self.record(target.tunnel, target, is_initial_config, now);
            self.record(target.address, target, is_initial_config, now);
        }
    }

    fn record(
        &mut self,
        address: SocketAddr,
        target: &Target,
        is_initial_config: bool,
        now: Instant,
    ) {
        let known = self.assignments.get(&address);
        if known.is_some_and(|known| known.matches_target(target)) {
            return;
        }
        let origin = match known {
            Some(_) => AssignmentOrigin::Reassigned(now),
            None if is_initial_config => AssignmentOrigin::AtStart(now),
            None => AssignmentOrigin::NewAddress,
        };
        let (service, target) = (target.service.clone(), target.name.clone());
        self.assignments.insert(address, Assignment { service, target, origin });
    }

    /// Returns whether no grant for a former target of the addresses of `target` can be in force.
    ///
    /// An instance that has just started cannot know of former targets. It waits until their grants
    /// have expired, unless `is_known_to_all`: then every instance that may hold a grant has a
    /// configuration with this target, and has revoked its grants for former targets.
    pub fn has_no_former_grants(
        &self,
        target: &Target,
        is_known_to_all: bool,
        now: Instant,
    ) -> bool {
        [target.tunnel, target.address].iter().all(|address| {
            let assignment = self
                .assignments
                .get(address)
                .filter(|assignment| assignment.matches_target(target));
            assignment.is_some_and(|assignment| match assignment.origin {
                AssignmentOrigin::NewAddress => true,
                AssignmentOrigin::AtStart(at) => is_known_to_all || now >= at + OPEN_FLOW_LIFETIME,
                AssignmentOrigin::Reassigned(at) => now >= at + OPEN_FLOW_LIFETIME,
            })
        })
    }
}

impl Assignment {
    fn matches_target(&self, target: &Target) -> bool {
        self.target == target.name && self.service == target.service
    }
}
