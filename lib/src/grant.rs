//! Grants: how many connections and requests an owner may send to each target, and until when.
//!
//! The owner sends requests to the service's allocator, which replies with grants. The lifetime of
//! a grant starts when the owner sends its request, by the owner's own clock, so a delayed reply
//! can only shorten the time in which the owner uses the grant, never extend it beyond what the
//! allocator assumes.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::{InstanceId, ServiceId, TargetId};
use crate::target::{Allowance, Signals};

/// Lifetime of a grant for new work. It exceeds the time that it takes to detect a crashed
/// allocator.
pub const NEW_WORK_LIFETIME: Duration = Duration::from_secs(4);
/// Lifetime of a grant for open flows.
pub const OPEN_FLOW_LIFETIME: Duration = Duration::from_secs(4);
/// Interval between two requests of an owner for the same service.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two requests within [`INITIAL_REQUEST_PERIOD`].
pub const INITIAL_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after an owner's first request to an allocator in which it sends requests more often.
pub const INITIAL_REQUEST_PERIOD: Duration = Duration::from_secs(12);

copy_type! {
    /// Kind of traffic that a grant permits. The lifetime of the grant starts when the owner sends
    /// its request.
    pub enum Term {
        /// New requests, new flows and packets of open flows.
        NewAndOpen,
        /// Packets of open flows only.
        OpenOnly,
        /// No traffic; revokes every earlier grant for the target.
        Nothing,
    }
}

impl Term {
    /// Returns the time for which the owner may send new work to the target.
    pub fn new_work_lifetime(self) -> Duration {
        match self {
            Term::NewAndOpen => NEW_WORK_LIFETIME,
            Term::OpenOnly | Term::Nothing => Duration::ZERO,
        }
    }

    /// Returns the time for which the owner may send packets of open flows to the target.
    pub fn open_flow_lifetime(self) -> Duration {
        match self {
            Term::NewAndOpen | Term::OpenOnly => OPEN_FLOW_LIFETIME,
            Term::Nothing => Duration::ZERO,
        }
    }
}

value_type! {
    /// Grants that an owner holds for a target, and its current use of them.
    pub struct Holding {
        /// Name of the target.
        pub target: TargetId,
        /// Connections of the grant for new work that is in force; zero when none is.
        pub connections: u32,
        /// Slots of the grant for new work that is in force; zero when none is.
        pub slots: u32,
        /// Flows that are open at the owner.
        pub open: u32,
        /// Requests from the owner that are running.
        pub running: u32,
        /// Requests that are queued at the owner for a slot.
        pub waiting: u32,
        /// Warm-up progress in thousandths as of the owner's last grant, or `None` before its first
        /// one.
        #[serde(rename = "warmth")]
        pub warm_up_per_mille: Option<u16>,
        /// Outcomes of the owner's requests to the target since its previous grant request.
        pub signals: Signals,
    }

    /// Request of an owner to the allocator of a service.
    pub struct GrantRequest {
        /// Service for whose targets the owner requests capacity.
        pub service: ServiceId,
        /// Number that matches a reply to this request; increases with each request of the owner.
        pub nonce: u64,
        /// Nonce of the first request that the owner sent to this allocator since it last sent one
        /// to another allocator.
        pub first_nonce: u64,
        /// Nonce of the latest request to this allocator whose reply the owner accepted, or `None`
        /// when it has accepted none since `first_nonce`.
        pub answered_nonce: Option<u64>,
        /// Time for which the owner has sent requests to this allocator only; in milliseconds on
        /// the wire.
        #[serde(with = "crate::millis")]
        pub steady_for: Duration,
        /// The owner's holdings, one for each local target of the service.
        pub holdings: Vec<Holding>,
    }

    /// Capacity of one target that an allocator grants to an owner.
    pub struct Grant {
        /// Index of the target in the request's `holdings`.
        pub index: u16,
        /// Largest number of connections that the owner may have open to the target.
        pub connections: u32,
        /// Largest number of requests that the owner may run on the target at once.
        pub slots: u32,
        /// Warm-up progress of the target, in thousandths.
        #[serde(rename = "warmth")]
        pub warm_up_per_mille: u16,
        /// Kind of traffic that the grant permits.
        pub term: Term,
    }

    /// Reply of the allocator of a service to an owner.
    pub struct GrantReply {
        /// Service that the request named.
        pub service: ServiceId,
        /// Nonce of the request.
        pub nonce: u64,
        /// Grants, at most one for each target. A target without a grant in the reply keeps its
        /// earlier grant until that one expires.
        pub grants: Vec<Grant>,
    }
}

#[derive(Debug)]
struct LatestRequest {
    nonce: u64,
    at: Instant,
    allocator: InstanceId,
    allocator_since: Instant,
    first_nonce: u64,
    answered_nonce: Option<u64>,
    targets: Vec<TargetId>,
}

/// A grant that an owner has accepted, with its lifetime converted to points in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// Name of the target.
    pub target: TargetId,
    /// Limits and expiry times that replace those of the earlier grant.
    pub allowance: Allowance,
    /// Warm-up progress of the target, in thousandths.
    pub warm_up_per_mille: u16,
}

/// Owner's side of the grant protocol: keeps the latest request for each service.
#[derive(Debug, Default)]
pub struct GrantClient {
    last_nonce: u64,
    latest_requests: BTreeMap<ServiceId, LatestRequest>,
}

impl GrantClient {
    /// Returns whether the next grant request for `service` should be sent now. It is due
    /// immediately if `allocator` differs from the allocator of the last request.
    pub fn is_due(&self, service: &str, allocator: &str, now: Instant) -> bool {
        let Some(latest) = self.latest_requests.get(service) else { return true };
        let is_new = now < latest.allocator_since + INITIAL_REQUEST_PERIOD;
        let interval = if is_new { INITIAL_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        latest.allocator != allocator || now >= latest.at + interval
    }

    /// Creates the next request for a service and records it as the latest one.
    pub fn next_request(
        &mut self,
        service: &ServiceId,
        allocator: &InstanceId,
        holdings: Vec<Holding>,
        now: Instant,
    ) -> GrantRequest {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let previous =
            self.latest_requests.get(service).filter(|latest| latest.allocator == *allocator);
        let allocator_since = previous.map_or(now, |latest| latest.allocator_since);
        let first_nonce = previous.map_or(nonce, |latest| latest.first_nonce);
        let answered_nonce = previous.and_then(|latest| latest.answered_nonce);
        let allocator = allocator.clone();
        let targets = holdings.iter().map(|holding| holding.target.clone()).collect();
        let latest = LatestRequest {
            nonce,
            at: now,
            allocator,
            allocator_since,
            first_nonce,
            answered_nonce,
            targets,
        };
        self.latest_requests.insert(service.clone(), latest);
        let (service, steady_for) = (service.clone(), now - allocator_since);
        GrantRequest { service, nonce, first_nonce, answered_nonce, steady_for, holdings }
    }

    /// Converts a reply into the owner's new allowances.
    ///
    /// Returns an empty list unless the reply belongs to the latest request and comes from the
    /// allocator that the request was sent to.
    pub fn accept(&mut self, from: &str, reply: &GrantReply) -> Vec<AcceptedGrant> {
        let Some(latest) = self.latest_requests.get_mut(&reply.service) else { return Vec::new() };
        if latest.nonce != reply.nonce || latest.allocator != from {
            return Vec::new();
        }
        latest.answered_nonce = Some(reply.nonce);
        reply.grants.iter().filter_map(|grant| accepted(grant, latest)).collect()
    }
}

impl GrantRequest {
    /// Returns the index of a target in `holdings`, or `None` when it is absent or the index does
    /// not fit into 16 bits.
    pub fn index_of(&self, target: &str) -> Option<u16> {
        let index = self.holdings.iter().position(|holding| holding.target == target)?;
        u16::try_from(index).ok()
    }
}

fn accepted(grant: &Grant, latest: &LatestRequest) -> Option<AcceptedGrant> {
    let target = latest.targets.get(usize::from(grant.index))?.clone();
    Some(AcceptedGrant {
        target,
        allowance: allowance(grant, latest.at),
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
