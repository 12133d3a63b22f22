//! Since when each address has belonged to its target, as one instance saw it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::config::Config;
use crate::grant::OPEN_FLOW_LIFETIME;
use crate::ids::{ServiceId, TargetId};
use crate::record::Target;

#[derive(Debug, PartialEq, Eq)]
struct Tenant {
    service: ServiceId,
    target: TargetId,
    seen: Seen,
}

/// How this instance came to see an address at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// No other target had the address before.
    Unused,
    /// It was so in the first configuration that the instance saw.
    AtStart(Instant),
    /// Another target had the address before.
    Changed(Instant),
}

/// The targets that addresses belong to.
#[derive(Debug, Default)]
pub struct AddressBook {
    tenants: BTreeMap<SocketAddr, Tenant>,
    version: Option<u64>,
}

impl AddressBook {
    /// Notes the addresses of a configuration. An address that no target has any longer keeps its
    /// last one, so that its next one is seen as a change.
    pub fn observe(&mut self, config: &Config, now: Instant) {
        if self.version == Some(config.version()) {
            return;
        }
        let is_first = self.version.replace(config.version()).is_none();
        for target in config.targets() {
            self.note(target.tunnel, target, is_first, now);
            self.note(target.address, target, is_first, now);
        }
    }

    fn note(&mut self, address: SocketAddr, target: &Target, is_first: bool, now: Instant) {
        let known = self.tenants.get(&address);
        if known.is_some_and(|known| known.is(target)) {
            return;
        }
        let seen = match known {
            Some(_) => Seen::Changed(now),
            None if is_first => Seen::AtStart(now),
            None => Seen::Unused,
        };
        let (service, target) = (target.service.clone(), target.name.clone());
        self.tenants.insert(address, Tenant { service, target, seen });
    }

    /// Tells whether every grant of a former target of the addresses must have expired.
    ///
    /// An instance that has just started cannot know of former targets; `is_known_to_all` tells
    /// that every possible holder of a grant has a configuration with this target, and has
    /// therefore revoked what it held of a former one.
    pub fn is_free_for(&self, target: &Target, is_known_to_all: bool, now: Instant) -> bool {
        [target.tunnel, target.address].iter().all(|address| {
            let tenant = self.tenants.get(address).filter(|tenant| tenant.is(target));
            tenant.is_some_and(|tenant| match tenant.seen {
                Seen::Unused => true,
                Seen::AtStart(at) => is_known_to_all || now >= at + OPEN_FLOW_LIFETIME,
                Seen::Changed(at) => now >= at + OPEN_FLOW_LIFETIME,
            })
        })
    }
}

impl Tenant {
    fn is(&self, target: &Target) -> bool {
        self.target == target.name && self.service == target.service
    }
}
