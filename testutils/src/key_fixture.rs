//! Kernels on the paused clock for tests of idempotency keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::kernel::Kernel;
use hollyhead::key_claim::{key_hash, key_owners};
use hollyhead::key_ledger::KeyDigest;
use hollyhead::owner::bucket_of;
use hollyhead::record::Precedence;
use hollyhead::request_route::Context;
use http::request::Parts;
use http::Request;
use tokio::time::Instant;

use crate::records;

/// Service of the fixture.
pub const SERVICE: &str = "quaydesk";
/// Data centre of the fixture.
pub const DATA_CENTRE: &str = "horn-east-a";
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a fleet without instances that knows a service with one target.
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

/// Returns the context of a request for the service at an instance, or `None` before the instance
/// knows the service.
pub fn context(kernel: &Kernel) -> Option<Context> {
    let plan = kernel.plan();
    let service = Arc::clone(plan.service(SERVICE)?);
    let record = Arc::clone(plan.config.service(SERVICE)?);
    Some(Context {
        plan,
        service,
        record,
        caller: "caller".into(),
        deadline: Instant::now() + TIMEOUT,
        precedence: Precedence::Interactive,
        is_forwarded: true,
    })
}

/// Returns the head of a request that is the given attempt of its caller.
pub fn head(attempt: u32) -> Parts {
    let mut parts = Request::new(()).into_parts().0;
    parts.headers.insert("idempotency-attempt", attempt.into());
    parts
}

/// Returns the instances in the order in which they own a key, as one of them sees it.
pub fn ranked(kernel: &Kernel, digest: &KeyDigest) -> Vec<String> {
    let plan = kernel.plan();
    let owners = plan.service(SERVICE).and_then(|service| key_owners(service, digest));
    let ranked = owners.map(|owners| owners.ranked(bucket_of(key_hash(digest))));
    ranked.into_iter().flatten().map(ToString::to_string).collect()
}
