//! Which service a request is for, and which instance handles it.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{header, HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::fair_queue::CallerId;
use crate::forward::text;
use crate::key_claim::{key_hash, key_owners};
use crate::key_ledger::KeyDigest;
use crate::owner::{bucket_of, Home};
use crate::plan::{Plan, ServicePlan};
use crate::problem::Problem;
use crate::random::Random;
use crate::record::{Precedence, Service};
use crate::view::{Member, MemberState};

/// Header by which a request names its deadline, in milliseconds from its arrival.
pub const REQUEST_TIMEOUT: &str = "request-timeout";
/// Header by which a request asks for a lower precedence than that of its service.
pub const PRECEDENCE: &str = "hollyhead-precedence";

/// What the request gateway knows of a request before it runs.
pub struct Context {
    /// Plan by which the request is handled.
    pub plan: Arc<Plan>,
    /// Service.
    pub service: Arc<ServicePlan>,
    /// Record of the service.
    pub record: Arc<Service>,
    /// Caller.
    pub caller: CallerId,
    /// Deadline.
    pub deadline: Instant,
    /// Precedence.
    pub precedence: Precedence,
    /// Whether another instance passed the request on.
    pub is_forwarded: bool,
}

/// Where a request is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// At this instance.
    Here,
    /// At another instance.
    Other(Member),
    /// Nowhere now.
    Nowhere,
}

/// Adds the host of an HTTP/2 request as the header that HTTP/1.1 has it in.
pub fn name_host(parts: &mut Parts) {
    let authority = parts.uri.authority().and_then(|it| HeaderValue::from_str(it.as_str()).ok());
    if let Some(authority) = authority {
        parts.headers.entry(header::HOST).or_insert(authority);
    }
}

/// Returns the service and its record that a request names by its host.
///
/// # Errors
///
/// Returns a refusal when there is no such service.
pub fn service_of(plan: &Plan, parts: &Parts) -> Result<(Arc<ServicePlan>, Arc<Service>), Problem> {
    let host = text(&parts.headers, header::HOST.as_str());
    let name = host.split(':').next().unwrap_or(host);
    let is_named =
        |it: &&Arc<Service>| it.name == name || it.hosts.iter().any(|known| known == name);
    let record = plan.config.services().find(is_named);
    let found = record
        .and_then(|record| Some((Arc::clone(plan.service(&record.name)?), Arc::clone(record))));
    found.ok_or_else(|| {
        Problem::not_run(StatusCode::NOT_FOUND, format!("no service is named {name:?}"))
    })
}

/// Returns the deadline of a request that arrives at `now`.
///
/// # Errors
///
/// Returns a refusal when the request states it wrongly.
pub fn deadline_of(record: &Service, parts: &Parts, now: Instant) -> Result<Instant, Problem> {
    let Some(value) = parts.headers.get(REQUEST_TIMEOUT) else {
        return Ok(now + record.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let deadline = millis.and_then(|millis| now.checked_add(Duration::from_millis(millis)));
    deadline.ok_or_else(|| {
        let detail = format!("{REQUEST_TIMEOUT} must be a whole number of milliseconds");
        Problem::not_run(StatusCode::BAD_REQUEST, detail)
    })
}

/// Returns the precedence of a request: that of its service, or a lower one that it asks for.
pub fn precedence_of(record: &Service, parts: &Parts) -> Precedence {
    let asked = match text(&parts.headers, PRECEDENCE) {
        "interactive" => Precedence::Interactive,
        "bulk" => Precedence::Bulk,
        _ => Precedence::Live,
    };
    record.precedence.max(asked)
}

/// Returns where a request is handled: one with a key at the key's owner, any other at an owner of
/// the service in a data centre that `admits` it.
pub fn route(
    cx: &Context,
    me: &str,
    key: Option<&KeyDigest>,
    admits: &dyn Fn(&str) -> bool,
    random: &dyn Random,
) -> Route {
    if let Some(key) = key {
        let owners = key_owners(&cx.service, key);
        let owner = owners.and_then(|owners| owners.owner(bucket_of(key_hash(key))));
        return match owner {
            Some(owner) if *owner == me => Route::Here,
            Some(owner) => other(cx, owner),
            None => Route::Nowhere,
        };
    }
    let home = home_of(cx, me);
    if home.is_some_and(|home| cx.is_forwarded || admits(&home.data_centre)) {
        return Route::Here;
    }
    let owners: Vec<_> = cx
        .service
        .homes
        .all()
        .iter()
        .filter(|home| home.is_open() && admits(&home.data_centre))
        .flat_map(|home| home.owners.members())
        .filter(|owner| *owner != me)
        .collect();
    let chosen = random.below(owners.len() as u64) as usize;
    match owners.get(chosen) {
        Some(owner) => other(cx, owner),
        None if home.is_some() => Route::Here,
        None => Route::Nowhere,
    }
}

/// Returns the home that an instance serves, unless it leaves or its data centre is out of service.
fn home_of<'a>(cx: &'a Context, me: &str) -> Option<&'a Home> {
    let member = cx.plan.view.get(me)?;
    if member.state == MemberState::Leaving {
        return None;
    }
    let home = cx.service.homes.get(&member.data_centre)?;
    (home.is_open() && home.owners.contains(me)).then_some(home)
}

fn other(cx: &Context, owner: &str) -> Route {
    cx.plan.view.get(owner).map_or(Route::Nowhere, |member| Route::Other(member.clone()))
}
