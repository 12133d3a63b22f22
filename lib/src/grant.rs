//! Grants: what the allocator of a service lets an owner give to each target, and until when.
//!
//! The owner asks and the allocator answers. The lifetime of a grant counts from the moment at
//! which the owner asked, on the owner's own clock, so a late answer can only be shorter than
//! the allocator assumes, never longer.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::target::{Allowance, Signals};

/// How long a grant for new work lasts: longer than it takes to find that an allocator has crashed.
pub const NEW_WORK_LIFETIME: Duration = Duration::from_secs(4);
/// How long a grant for open flows lasts.
pub const OPEN_FLOW_LIFETIME: Duration = Duration::from_secs(4);
/// Time between two requests of an owner for the same service.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two requests while the allocator is new to the owner.
pub const INITIAL_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which an allocator is new to an owner.
pub const INITIAL_REQUEST_PERIOD: Duration = Duration::from_secs(12);

copy_type! {
    /// What a grant is for; its lifetime counts from the moment of the question.
    pub enum Term {
        /// New work and open flows.
        NewAndOpen,
        /// Packets of open flows only.
        OpenOnly,
        /// Nothing: every earlier grant ends.
        Nothing,
    }
}

impl Term {
    /// Returns how long new work may be given.
    pub fn new_work_lifetime(self) -> Duration {
        match self {
            Term::NewAndOpen => NEW_WORK_LIFETIME,
            Term::OpenOnly | Term::Nothing => Duration::ZERO,
        }
    }

    /// Returns how long packets of open flows may be sent.
    pub fn open_flow_lifetime(self) -> Duration {
        match self {
            Term::NewAndOpen | Term::OpenOnly => OPEN_FLOW_LIFETIME,
            Term::Nothing => Duration::ZERO,
        }
    }
}

value_type! {
    /// What an owner holds of a target and does with it.
    pub struct Holding {
        /// Target.
        pub target: TargetId,
        /// Connections granted by the last grant that is still in force.
        pub connections: u32,
        /// Slots granted by the last grant that is still in force.
        pub slots: u32,
        /// Open flows.
        pub open: u32,
        /// Running requests.
        pub running: u32,
        /// Requests that wait for a slot.
        pub waiting: u32,
        /// Warm-up progress that the last grant told, in thousandths.
        #[serde(rename = "warmth")]
        pub warm_up_per_mille: Option<u16>,
        /// What traffic has told since the last question.
        pub signals: Signals,
    }

    /// Question of an owner to the allocator of a service.
    pub struct GrantRequest {
        /// Service.
        pub service: ServiceId,
        /// Number by which the owner recognises the answer.
        pub nonce: u64,
        /// Number of the owner's first question since it last asked another instance.
        pub first_nonce: u64,
        /// Number of the last question to this allocator whose answer was accepted.
        pub answered_nonce: Option<u64>,
        /// How long the owner has asked no other instance.
        #[serde(with = "crate::millis")]
        pub steady_for: Duration,
        /// What the owner holds.
        pub holdings: Vec<Holding>,
    }

    /// What an allocator grants of one target.
    pub struct Grant {
        /// Position of the target among the holdings of the question.
        pub index: u16,
        /// Connections that the owner may have open.
        pub connections: u32,
        /// Requests that the owner may run at once.
        pub slots: u32,
        /// Warm-up progress of the target, in thousandths.
        #[serde(rename = "warmth")]
        pub warm_up_per_mille: u16,
        /// What the grant is for.
        pub term: Term,
    }

    /// Answer of the allocator of a service.
    pub struct GrantReply {
        /// Service.
        pub service: ServiceId,
        /// Number of the question.
        pub nonce: u64,
        /// Grants.
        pub grants: Vec<Grant>,
    }
}

#[derive(Debug)]
struct LastRequest {
    nonce: u64,
    at: Instant,
    allocator: InstanceId,
    since: Instant,
    first_nonce: u64,
    answered_nonce: Option<u64>,
    targets: Vec<TargetId>,
}

/// What a grant changes at the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// Target.
    pub target: TargetId,
    /// What may be given.
    pub allowance: Allowance,
    /// Warm-up progress of the target, in thousandths.
    pub warm_up_per_mille: u16,
}

/// The questions that an owner has open, one for each service.
#[derive(Debug, Default)]
pub struct GrantClient {
    next_nonce: u64,
    last_requests: BTreeMap<ServiceId, LastRequest>,
}

impl GrantClient {
    /// Tells whether it is time to ask for a service again.
    pub fn is_due(&self, service: &str, allocator: &str, now: Instant) -> bool {
        let Some(last) = self.last_requests.get(service) else { return true };
        let is_new = now < last.since + INITIAL_REQUEST_PERIOD;
        let interval = if is_new { INITIAL_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        last.allocator != allocator || now >= last.at + interval
    }

    /// Notes a question and returns it.
    pub fn next_request(
        &mut self,
        service: &ServiceId,
        allocator: &InstanceId,
        holdings: Vec<Holding>,
        now: Instant,
    ) -> GrantRequest {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let previous = self.last_requests.get(service).filter(|last| last.allocator == *allocator);
        let since = previous.map_or(now, |last| last.since);
        let first_nonce = previous.map_or(nonce, |last| last.first_nonce);
        let answered_nonce = previous.and_then(|last| last.answered_nonce);
        let allocator = allocator.clone();
        let targets = holdings.iter().map(|holding| holding.target.clone()).collect();
        let last =
            LastRequest { nonce, at: now, allocator, since, first_nonce, answered_nonce, targets };
        self.last_requests.insert(service.clone(), last);
        let (service, steady_for) = (service.clone(), now - since);
        GrantRequest { service, nonce, first_nonce, answered_nonce, steady_for, holdings }
    }

    /// Turns an answer into allowances; an answer to no open question gives none.
    pub fn accept(&mut self, from: &str, reply: &GrantReply) -> Vec<AcceptedGrant> {
        let Some(last) = self.last_requests.get_mut(&reply.service) else { return Vec::new() };
        if last.nonce != reply.nonce || last.allocator != from {
            return Vec::new();
        }
        last.answered_nonce = Some(reply.nonce);
        reply.grants.iter().filter_map(|grant| accepted(grant, last)).collect()
    }
}

impl GrantRequest {
    /// Returns the position of a target among the holdings.
    pub fn index_of(&self, target: &str) -> Option<u16> {
        let index = self.holdings.iter().position(|holding| holding.target == target)?;
        u16::try_from(index).ok()
    }
}

fn accepted(grant: &Grant, last: &LastRequest) -> Option<AcceptedGrant> {
    let target = last.targets.get(usize::from(grant.index))?.clone();
    Some(AcceptedGrant {
        target,
        allowance: allowance(grant, last.at),
        warm_up_per_mille: grant.warm_up_per_mille,
    })
}

fn allowance(grant: &Grant, requested_at: Instant) -> Allowance {
    Allowance {
        connections: grant.connections,
        slots: grant.slots,
        new_until: requested_at + grant.term.new_work_lifetime(),
        open_until: requested_at + grant.term.open_flow_lifetime(),
    }
}
