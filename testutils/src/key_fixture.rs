//! Fixture for tests of idempotency keys: instances in memory, on tokio's paused clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::kernel::Kernel;
use hollyhead::key_claim::{key_hash, key_owners};
use hollyhead::key_ledger::KeyDigest;
use hollyhead::owner::bucket_of;
use hollyhead::record::Precedence;
use hollyhead::request_route::RequestContext;
use http::request::Parts;
use http::Request;
use tokio::time::Instant;

use crate::records;

/// Name of the only service.
pub const SERVICE: &str = "quaydesk";
/// Name of the only data centre.
pub const DATA_CENTRE: &str = "horn-east-a";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a fleet without instances, whose configuration has one service with one target.
pub fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    let target = records::target("quaydesk-1", SERVICE, DATA_CENTRE, address, address);
    fleet.apply(&[
        records::object("service", 1, records::service(SERVICE, address)),
        records::object("target", 2, target),
    ]);
    fleet
}

/// Returns the context of a request for the service at an instance, or `None` if the instance has
/// not received the service's configuration yet.
pub fn context(kernel: &Kernel) -> Option<RequestContext> {
    let plan = kernel.plan();
    let service = Arc::clone(plan.service(SERVICE)?);
    let record = Arc::clone(plan.config.service(SERVICE)?);
    Some(RequestContext {
        plan,
        service,
        record,
        caller: "caller".into(),
        deadline: Instant::now() + REQUEST_TIMEOUT,
        precedence: Precedence::Interactive,
        is_forwarded: true,
    })
}

/// Returns the head of a request with an attempt number, where 1 is the first attempt.
pub fn head(attempt: u32) -> Parts {
    let mut parts = Request::new(()).into_parts().0;
    parts.headers.insert("idempotency-attempt", attempt.into());
    parts
}

/// Returns the owner of a key and its witnesses in rank order, by the view of one instance.
pub fn ranked(kernel: &Kernel, digest: &KeyDigest) -> Vec<String> {
    let plan = kernel.plan();
    let owners = plan.service(SERVICE).and_then(|service| key_owners(service, digest));
    let ranked = owners.map(|owners| owners.ranked(bucket_of(key_hash(digest))));
    ranked.into_iter().flatten().map(ToString::to_string).collect()
}
