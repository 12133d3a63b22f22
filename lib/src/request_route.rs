//! Routing of requests: finds the service that a request is for, and the instance that handles it.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{header, HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::fair_queue::CallerId;
use crate::forward::header_text;
use crate::key_claim::{key_hash, key_owners};
use crate::key_ledger::KeyDigest;
use crate::owner::{bucket_of, Home};
use crate::plan::{Plan, ServicePlan};
use crate::problem::Problem;
use crate::random::Random;
use crate::record::{Precedence, Service};
use crate::view::{Member, MemberState};

/// Request header with the time until the deadline, in milliseconds from the arrival.
pub const REQUEST_TIMEOUT_HEADER: &str = "request-timeout";
/// Request header with a precedence: `interactive` or `bulk`. It can only lower the precedence of
/// the service.
pub const PRECEDENCE_HEADER: &str = "hollyhead-precedence";

/// Properties of a request that the gateway determines before the request runs.
pub struct RequestContext {
    /// Plan that applies to the request until its end, even after the instance has a newer one.
    pub plan: Arc<Plan>,
    /// Plan of the service that the request is for.
    pub service: Arc<ServicePlan>,
    /// Configuration of the service.
    pub record: Arc<Service>,
    /// Caller; for a forwarded request, the one that the forwarding instance names.
    pub caller: CallerId,
    /// Time by which the response is due.
    pub deadline: Instant,
    /// Precedence: that of the service, or a lower one that the request asks for.
    pub precedence: Precedence,
    /// Whether another instance forwarded the request. It is not forwarded a second time.
    pub is_forwarded: bool,
}

/// The instance that handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This instance handles the request.
    Local,
    /// The request is forwarded to another instance.
    Forward(Member),
    /// No instance can handle the request now.
    Unavailable,
}

/// Sets the `host` header, which HTTP/1.1 requires, from the authority of an HTTP/2 request.
pub fn insert_host_header(parts: &mut Parts) {
    let authority = parts.uri.authority().and_then(|it| HeaderValue::from_str(it.as_str()).ok());
    if let Some(authority) = authority {
        parts.headers.entry(header::HOST).or_insert(authority);
    }
}

/// Returns the plan and the configuration of the service whose name or host the request's `host`
/// header gives.
///
/// # Errors
///
/// Returns a refusal with status 404 if there is no such service.
pub fn service_of(plan: &Plan, parts: &Parts) -> Result<(Arc<ServicePlan>, Arc<Service>), Problem> {
    let host = header_text(&parts.headers, header::HOST.as_str());
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

/// Returns the deadline of a request that arrives at `now`; without a timeout header, the default
/// of the service applies.
///
/// # Errors
///
/// Returns a refusal with status 400 if the timeout header is not a whole number of milliseconds.
pub fn deadline_of(record: &Service, parts: &Parts, now: Instant) -> Result<Instant, Problem> {
    let Some(value) = parts.headers.get(REQUEST_TIMEOUT_HEADER) else {
        return Ok(now + record.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let deadline = millis.and_then(|millis| now.checked_add(Duration::from_millis(millis)));
    deadline.ok_or_else(|| {
        let detail = format!("{REQUEST_TIMEOUT_HEADER} must be a whole number of milliseconds");
        Problem::not_run(StatusCode::BAD_REQUEST, detail)
    })
}

/// Returns the precedence of a request: the lower one of the precedence of its service and that in
/// its header.
pub fn precedence_of(record: &Service, parts: &Parts) -> Precedence {
    let requested = match header_text(&parts.headers, PRECEDENCE_HEADER) {
        "interactive" => Precedence::Interactive,
        "bulk" => Precedence::Bulk,
        _ => Precedence::Live,
    };
    record.precedence.max(requested)
}

/// Returns the instance that handles a request; `me` is this instance.
///
/// A request with an idempotency `key` goes to the owner of the key. Any other request stays here
/// if this instance owns the service in a data centre that `admits` the request, and else goes to a
/// random owner in such a data centre. If there is none, or if the request was forwarded already,
/// an owner keeps it even if its data centre does not admit it.
pub fn route(
    cx: &RequestContext,
    me: &str,
    key: Option<&KeyDigest>,
    admits: &dyn Fn(&str) -> bool,
    random: &dyn Random,
) -> Route {
    if let Some(key) = key {
        let owners = key_owners(&cx.service, key);
        let owner = owners.and_then(|owners| owners.owner(bucket_of(key_hash(key))));
        return match owner {
            Some(owner) if *owner == me => Route::Local,
            Some(owner) => forward_to(cx, owner),
            None => Route::Unavailable,
        };
    }
    let home = local_home(cx, me);
    if home.is_some_and(|home| cx.is_forwarded || admits(&home.data_centre)) {
        return Route::Local;
    }
    let owners: Vec<_> = cx
        .service
        .homes
        .all()
        .iter()
        .filter(|home| home.is_available() && admits(&home.data_centre))
        .flat_map(|home| home.owners.members())
        .filter(|owner| *owner != me)
        .collect();
    let chosen = random.below(owners.len() as u64) as usize;
    match owners.get(chosen) {
        Some(owner) => forward_to(cx, owner),
        None if home.is_some() => Route::Local,
        None => Route::Unavailable,
    }
}

/// Returns the home in the data centre of instance `me`, if `me` owns the service there, is not
/// leaving, and the home takes new work.
fn local_home<'a>(cx: &'a RequestContext, me: &str) -> Option<&'a Home> {
    let member = cx.plan.view.get(me)?;
    if member.state == MemberState::Leaving {
        return None;
    }
    let home = cx.service.homes.get(&member.data_centre)?;
    (home.is_available() && home.owners.contains(me)).then_some(home)
}

/// Returns the route to an owner, which is unavailable if the owner is not in the view.
fn forward_to(cx: &RequestContext, owner: &str) -> Route {
    cx.plan.view.get(owner).map_or(Route::Unavailable, |member| Route::Forward(member.clone()))
}
