//! Request executor: runs requests at backend servers, with retries on another target where they
//! are safe.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::admission::{Arrival, RefusalReason};
use crate::audit_requests;
use crate::backend_pool::{BackendPool, ExchangeError, Failure, PooledResponseBody};
use crate::collections::HashMap;
use crate::dispatcher::{Dispatcher, Slot};
use crate::forward::header_text;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::keyed_run::KeyedRun;
use crate::metrics::Metrics;
use crate::problem::{Outcome, Problem, OUTCOME_HEADER};
use crate::request_body::{BodyError, OutgoingBody, RequestBody, ResponseBody};
use crate::request_route::{RequestContext, REQUEST_TIMEOUT_HEADER};
use crate::retry::RetryBudget;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request to run at a backend server.
pub struct Job {
    /// Method, URI and headers as they arrived from the caller or the forwarding instance.
    pub parts: Parts,
    /// Body, of which a streamed one can be sent only once.
    pub body: RequestBody,
}

/// Runs requests at the backend servers of one instance.
pub struct RequestExecutor {
    kernel: Arc<Kernel>,
    dispatcher: Arc<Dispatcher>,
    pool: Arc<BackendPool>,
    retry_budgets: Mutex<HashMap<ServiceId, Arc<RetryBudget>>>,
}

impl RequestExecutor {
    /// Creates an executor whose retry budgets are full.
    pub fn new(kernel: Arc<Kernel>, dispatcher: Arc<Dispatcher>, pool: Arc<BackendPool>) -> Self {
        Self { kernel, dispatcher, pool, retry_budgets: Mutex::new(HashMap::default()) }
    }

    /// Runs a request and returns the backend server's response. With `key`, the request is claimed
    /// under its idempotency key before it runs.
    ///
    /// After a failed attempt the request runs at another target, provided that it certainly has
    /// not run or is idempotent, that its body can be sent again, that another target has a free
    /// slot, and that the retry budget allows it.
    ///
    /// # Errors
    ///
    /// Returns a problem whose outcome says whether the request may have run.
    pub async fn run(
        &self,
        cx: &RequestContext,
        mut job: Job,
        mut key: Option<&mut KeyedRun>,
    ) -> Result<Response<ResponseBody>, Problem> {
        let budget = self.budget(&cx.service.service);
        budget.deposit();
        let acquired = self.dispatcher.acquire(&cx.service, arrival(cx)).await;
        let (audit, events) = (&self.kernel.audit, &self.kernel.metrics.request_events);
        let mut slot = acquired.inspect_err(|refusal| {
            Metrics::count(events, refusal.reason.label());
            audit_requests::record_refusal(audit, cx, refusal.reason);
        })?;
        let refused = |problem: &Problem| audit_requests::record_problem(audit, cx, None, problem);
        if let Some(key) = key.as_deref_mut() {
            key.claim(cx).await.inspect_err(refused)?;
        }
        let mut tried = Vec::new();
        loop {
            if let Some(key) = key.as_deref_mut() {
                key.mark_dispatched().inspect_err(refused)?;
            }
            let target = slot.target().id().clone();
            let problem = match self.attempt(cx, &mut job, slot).await {
                Ok(response) => {
                    audit_requests::record_answer(audit, cx, &target);
                    return Ok(response);
                }
                Err(failed) => {
                    tried.push(failed.target);
                    failed.problem
                }
            };
            let has_not_run = problem.outcome == Outcome::NotRun;
            let may_rerun = job.body.is_available()
                && (has_not_run || is_safe_to_rerun(cx, &job, key.is_some()));
            let other =
                may_rerun.then(|| self.dispatcher.try_acquire_other(&cx.service, &tried)).flatten();
            let Some(other) = other.filter(|_| budget.withdraw()) else {
                audit_requests::record_problem(audit, cx, Some(&target), &problem);
                return Err(problem);
            };
            Metrics::count(events, "retried");
            slot = other;
        }
    }

    async fn attempt(
        &self,
        cx: &RequestContext,
        job: &mut Job,
        slot: Slot,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let target = Arc::clone(slot.target());
        let failed = |problem| FailedAttempt { target: Arc::clone(&target), problem };
        let req = outgoing_request(&job.parts, &mut job.body, cx.deadline).map_err(failed)?;
        let started = Instant::now();
        let sent = self.pool.send(target.address(), req, cx.deadline).await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                if failure.is_connection_only {
                    Metrics::count(&self.kernel.metrics.request_events, "silent_connection");
                } else {
                    target.record_failure();
                }
                return Err(failed(self.problem(cx, &failure)));
            }
        };
        if is_shed_response(&response) {
            target.record_shed();
            return Err(failed(self.retry_later(cx, "backend server shed the request")));
        }
        if response.status().is_server_error() {
            target.record_failure();
        } else {
            target.record_answer(started.elapsed());
        }
        Ok(caller_response(response, |body| SlotHoldingBody { body, started, slot: Some(slot) }))
    }

    fn problem(&self, cx: &RequestContext, failure: &Failure) -> Problem {
        match &failure.error {
            ExchangeError::NotSent(reason) => {
                self.retry_later(cx, &format!("backend server not reached: {reason}"))
            }
            ExchangeError::DeadlineExceeded => {
                Problem::unknown(StatusCode::GATEWAY_TIMEOUT, failure.error.to_string())
            }
            ExchangeError::NoResponse(_) | ExchangeError::Crossed => {
                if failure.error == ExchangeError::Crossed {
                    Metrics::count(&self.kernel.metrics.request_events, "crossed");
                }
                Problem::unknown(StatusCode::BAD_GATEWAY, failure.error.to_string())
            }
        }
    }

    fn retry_later(&self, cx: &RequestContext, detail: &str) -> Problem {
        let refusal = self.dispatcher.refusal(&cx.service, RefusalReason::Full);
        Problem::retry_later(detail, refusal.retry_after)
    }

    fn budget(&self, service: &ServiceId) -> Arc<RetryBudget> {
        Arc::clone(self.retry_budgets.lock().entry(service.clone()).or_default())
    }
}

/// An attempt without a response for the caller.
struct FailedAttempt {
    target: Arc<crate::target::TargetHandle>,
    problem: Problem,
}

/// Builds the request of one attempt. Its timeout header holds the time that remains until
/// `deadline`, in milliseconds.
///
/// # Errors
///
/// Returns a refusal if the path is not a valid URI or a streamed body was sent before.
pub fn outgoing_request(
    parts: &Parts,
    body: &mut RequestBody,
    deadline: Instant,
) -> Result<Request<OutgoingBody>, Problem> {
    let refuse = |detail: String| Problem::not_run(StatusCode::BAD_REQUEST, detail);
    let body = body.take().ok_or_else(|| refuse("body was sent already".into()))?;
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Result<Uri, _> = path.parse();
    *req.uri_mut() = uri.map_err(|err| refuse(format!("path cannot be passed on: {err}")))?;
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = parts.headers.clone();
    remove_hop_by_hop_headers(req.headers_mut());
    let remaining = deadline.saturating_duration_since(Instant::now());
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    req.headers_mut().insert(REQUEST_TIMEOUT_HEADER, HeaderValue::from(millis));
    Ok(req)
}

/// Converts the response of a backend server or another instance into one for the caller. `wrap`
/// turns its body into one that the caller reads.
pub fn caller_response<B>(
    response: Response<PooledResponseBody>,
    wrap: impl FnOnce(PooledResponseBody) -> B,
) -> Response<ResponseBody>
where
    B: http_body::Body<Data = Bytes, Error = BodyError> + Send + Sync + 'static,
{
    let mut response = response.map(|body| wrap(body).boxed());
    remove_hop_by_hop_headers(response.headers_mut());
    response.headers_mut().remove(crate::backend_pool::ATTEMPT);
    *response.version_mut() = Version::HTTP_11;
    response
}

/// Removes the hop-by-hop headers and those that the `connection` header names.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<_> =
        header_text(headers, "connection").split(',').map(|name| name.trim().to_owned()).collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        if !name.is_empty() {
            headers.remove(name);
        }
    }
}

fn arrival(cx: &RequestContext) -> Arrival {
    Arrival {
        service: cx.service.service.clone(),
        precedence: cx.precedence,
        caller: cx.caller.clone(),
        deadline: cx.deadline,
    }
}

/// Returns whether a request may run again although it may have run before: it is idempotent by its
/// method, its service does not demand at most one run, it carries no idempotency key, and its
/// deadline has not passed.
fn is_safe_to_rerun(cx: &RequestContext, job: &Job, has_key: bool) -> bool {
    let is_idempotent = [Method::GET, Method::HEAD].contains(&job.parts.method);
    is_idempotent && !cx.record.at_most_once && !has_key && Instant::now() < cx.deadline
}

/// Returns whether the backend server states that it shed the request without running it.
fn is_shed_response(response: &Response<PooledResponseBody>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header_text(response.headers(), OUTCOME_HEADER) == Outcome::NotRun.name()
}

/// Response body that holds the slot of its request until it ends or is dropped.
struct SlotHoldingBody {
    body: PooledResponseBody,
    started: Instant,
    slot: Option<Slot>,
}

impl http_body::Body for SlotHoldingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for SlotHoldingBody {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.note_service_time(self.started.elapsed());
        }
    }
}
