//! Runs requests at backend servers, with retries where they are safe.

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
use crate::backend_pool::{BackendPool, ExchangeError, Failure, ResponseBody};
use crate::collections::HashMap;
use crate::dispatcher::{Dispatcher, Slot};
use crate::forward::text;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::keyed_run::KeyedRun;
use crate::metrics::Metrics;
use crate::problem::{Outcome, Problem, OUTCOME};
use crate::request_body::{Body, BodyError, InBody, OutBody};
use crate::request_route::{Context, REQUEST_TIMEOUT};
use crate::retry::RetryBudget;

/// Headers that hold for one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request that is to run.
pub struct Job {
    /// Head.
    pub parts: Parts,
    /// Body.
    pub body: InBody,
}

/// Runs requests at the backend servers of one instance.
pub struct RequestExecutor {
    kernel: Arc<Kernel>,
    dispatcher: Arc<Dispatcher>,
    pool: Arc<BackendPool>,
    budgets: Mutex<HashMap<ServiceId, Arc<RetryBudget>>>,
}

impl RequestExecutor {
    /// Creates an executor.
    pub fn new(kernel: Arc<Kernel>, dispatcher: Arc<Dispatcher>, pool: Arc<BackendPool>) -> Self {
        Self { kernel, dispatcher, pool, budgets: Mutex::new(HashMap::default()) }
    }

    /// Runs a request and returns the backend server's answer.
    ///
    /// # Errors
    ///
    /// Returns what became of the request.
    pub async fn run(
        &self,
        cx: &Context,
        mut job: Job,
        mut key: Option<&mut KeyedRun>,
    ) -> Result<Response<Body>, Problem> {
        let budget = self.budget(&cx.service.service);
        budget.deposit();
        let acquired = self.dispatcher.acquire(&cx.service, arrival(cx)).await;
        let events = &self.kernel.metrics.request_events;
        let mut slot =
            acquired.inspect_err(|refusal| Metrics::count(events, refusal.reason.label()))?;
        if let Some(key) = key.as_deref_mut() {
            key.claim(cx).await?;
        }
        let mut tried = Vec::new();
        loop {
            if let Some(key) = key.as_deref_mut() {
                key.mark_dispatched()?;
            }
            let problem = match self.attempt(cx, &mut job, slot).await {
                Ok(response) => return Ok(response),
                Err(failed) => {
                    tried.push(failed.target);
                    failed.problem
                }
            };
            let is_certain = problem.outcome == Outcome::NotRun;
            if !job.body.is_available() || !(is_certain || is_repeatable(cx, &job, key.is_some())) {
                return Err(problem);
            }
            let other = self.dispatcher.try_other(&cx.service, &tried);
            let Some(other) = other.filter(|_| budget.withdraw()) else { return Err(problem) };
            Metrics::count(&self.kernel.metrics.request_events, "retried");
            slot = other;
        }
    }

    async fn attempt(
        &self,
        cx: &Context,
        job: &mut Job,
        slot: Slot,
    ) -> Result<Response<Body>, Failed> {
        let target = Arc::clone(slot.target());
        let failed = |problem| Failed { target: Arc::clone(&target), problem };
        let req = outgoing(&job.parts, &mut job.body, cx.deadline).map_err(failed)?;
        let started = Instant::now();
        let sent = self.pool.send(target.address(), req, cx.deadline).await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                if failure.is_connection_only {
                    Metrics::count(&self.kernel.metrics.request_events, "silent_connection");
                } else {
                    target.note_failed();
                }
                return Err(failed(self.problem(cx, &failure)));
            }
        };
        if is_declared_shed(&response) {
            target.note_shed();
            return Err(failed(self.retry_later(cx, "backend server shed the request")));
        }
        if response.status().is_server_error() {
            target.note_failed();
        } else {
            target.note_answered(started.elapsed());
        }
        Ok(answer(response, |body| HeldBody { body, started, slot: Some(slot) }))
    }

    fn problem(&self, cx: &Context, failure: &Failure) -> Problem {
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

    fn retry_later(&self, cx: &Context, detail: &str) -> Problem {
        let refusal = self.dispatcher.refusal(&cx.service, RefusalReason::Full);
        Problem::retry_later(detail, refusal.retry_after)
    }

    fn budget(&self, service: &ServiceId) -> Arc<RetryBudget> {
        Arc::clone(self.budgets.lock().entry(service.clone()).or_default())
    }
}

/// An attempt that brought no answer.
struct Failed {
    target: Arc<crate::target::TargetHandle>,
    problem: Problem,
}

/// Builds the request of one attempt, with the time that is left.
///
/// # Errors
///
/// Returns a refusal when the path cannot be passed on or the body is gone.
pub fn outgoing(
    parts: &Parts,
    body: &mut InBody,
    deadline: Instant,
) -> Result<Request<OutBody>, Problem> {
    let refuse = |detail: String| Problem::not_run(StatusCode::BAD_REQUEST, detail);
    let body = body.take().ok_or_else(|| refuse("body was sent already".into()))?;
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Result<Uri, _> = path.parse();
    *req.uri_mut() = uri.map_err(|err| refuse(format!("path cannot be passed on: {err}")))?;
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = parts.headers.clone();
    strip(req.headers_mut());
    let left = deadline.saturating_duration_since(Instant::now());
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    req.headers_mut().insert(REQUEST_TIMEOUT, HeaderValue::from(millis));
    Ok(req)
}

/// Turns a backend server's answer into one for the caller.
pub fn answer<B>(
    response: Response<ResponseBody>,
    hold: impl FnOnce(ResponseBody) -> B,
) -> Response<Body>
where
    B: http_body::Body<Data = Bytes, Error = BodyError> + Send + Sync + 'static,
{
    let mut response = response.map(|body| hold(body).boxed());
    strip(response.headers_mut());
    response.headers_mut().remove(crate::backend_pool::ATTEMPT);
    *response.version_mut() = Version::HTTP_11;
    response
}

fn strip(headers: &mut HeaderMap) {
    let named: Vec<_> =
        text(headers, "connection").split(',').map(|name| name.trim().to_owned()).collect();
    for name in named.iter().map(String::as_str).chain(HOP_HEADERS) {
        if !name.is_empty() {
            headers.remove(name);
        }
    }
}

fn arrival(cx: &Context) -> Arrival {
    Arrival {
        service: cx.service.service.clone(),
        precedence: cx.precedence,
        caller: cx.caller.clone(),
        deadline: cx.deadline,
    }
}

/// Tells whether a request may run again although it may have run.
fn is_repeatable(cx: &Context, job: &Job, has_key: bool) -> bool {
    let is_idempotent = [Method::GET, Method::HEAD].contains(&job.parts.method);
    is_idempotent && !cx.record.at_most_once && !has_key && Instant::now() < cx.deadline
}

fn is_declared_shed(response: &Response<ResponseBody>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && text(response.headers(), OUTCOME) == Outcome::NotRun.name()
}

/// Body of an answer that holds its slot until its end.
struct HeldBody {
    body: ResponseBody,
    started: Instant,
    slot: Option<Slot>,
}

impl http_body::Body for HeldBody {
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

impl Drop for HeldBody {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.note_service_time(self.started.elapsed());
        }
    }
}
