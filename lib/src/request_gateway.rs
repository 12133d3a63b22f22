//! The request gateway: accepts HTTP requests of callers, and runs them at backend servers or
//! forwards them to the instance that handles them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use futures::future::BoxFuture;
use http::request::Parts;
use http::{header, HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use tokio::time::{timeout_at, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::admission::{RefusalReason, MIN_RETRY_AFTER};
use crate::audit_requests;
use crate::backend_pool::{BackendPool, ExchangeError};
use crate::dispatcher::Dispatcher;
use crate::fair_queue::CallerId;
use crate::forward::{self, header_text, IDEMPOTENCY_KEY_HEADER};
use crate::kernel::Kernel;
use crate::key_ledger::{key_digest, KeyDigest};
use crate::keyed_run::{accept, Accepted};
use crate::metrics::Metrics;
use crate::problem::Problem;
use crate::request_body::{RequestBody, ResponseBody};
use crate::request_executor::{caller_response, outgoing_request, Job, RequestExecutor};
use crate::request_route::{
    deadline_of, insert_host_header, precedence_of, route, service_of, RequestContext, Route,
};
use crate::view::Member;

/// Time for which connections still accept requests after a shutdown has begun. Callers learn of
/// the shutdown only after a delay, and may send requests until then.
pub const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// The request gateway of one instance; clones share their state.
#[derive(Clone)]
pub struct RequestGateway {
    shared: Arc<Shared>,
    peer: Option<SocketAddr>,
}

struct Shared {
    kernel: Arc<Kernel>,
    dispatcher: Arc<Dispatcher>,
    pool: Arc<BackendPool>,
    executor: RequestExecutor,
    connections: TaskTracker,
    closing: CancellationToken,
    abort: CancellationToken,
}

impl RequestGateway {
    /// Creates the gateway of an instance. It accepts no connections before
    /// [`RequestGateway::serve`].
    pub fn new(kernel: Arc<Kernel>) -> Self {
        let dispatcher = Dispatcher::new(Arc::clone(&kernel));
        let pool = Arc::new(BackendPool::default());
        let executor =
            RequestExecutor::new(Arc::clone(&kernel), Arc::clone(&dispatcher), Arc::clone(&pool));
        let shared = Shared {
            kernel,
            dispatcher,
            pool,
            executor,
            connections: TaskTracker::new(),
            closing: CancellationToken::new(),
            abort: CancellationToken::new(),
        };
        Self { shared: Arc::new(shared), peer: None }
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.shared.dispatcher.waiting_count(service)
    }

    /// Returns a guard that aborts all connections of callers when it is dropped.
    pub fn abort_guard(&self) -> DropGuard {
        self.shared.abort.clone().drop_guard()
    }

    /// Accepts and serves connections of a listener, and dispatches waiting requests when a grant
    /// changes. Never returns.
    pub async fn serve(self, listener: TcpListener) {
        let dispatcher = Arc::clone(&self.shared.dispatcher);
        let kernel = Arc::clone(&self.shared.kernel);
        let dispatch = async {
            loop {
                kernel.grant_received.notified().await;
                dispatcher.dispatch_all();
                self.shared.pool.close_expired(Instant::now());
            }
        };
        let accept = async {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => self.spawn_connection(stream, peer),
                    Err(err) => log::warn!("failed to accept a connection of a caller: {err}"),
                }
            }
        };
        tokio::join!(dispatch, accept);
    }

    /// Shuts the gateway down: refuses waiting and new requests, and waits for at most `limit`
    /// until running requests have ended and all connections are closed.
    pub async fn close(&self, limit: Duration) {
        self.shared.dispatcher.close();
        self.shared.closing.cancel();
        self.shared.connections.close();
        if tokio::time::timeout(limit, self.shared.connections.wait()).await.is_err() {
            log::warn!(
                "{} connections of callers still open {limit:?} after the shutdown began",
                self.shared.connections.len()
            );
        }
    }

    fn spawn_connection(&self, stream: tokio::net::TcpStream, peer: SocketAddr) {
        let gateway = Self { shared: Arc::clone(&self.shared), peer: Some(peer) };
        let (closing, abort) = (self.shared.closing.clone(), self.shared.abort.clone());
        let serve = async move {
            let service = TowerToHyperService::new(gateway);
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = close_grace_elapsed(&closing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(err) = result {
                log::debug!("connection of a caller failed: {err}");
            }
        };
        self.shared.connections.spawn(async move { abort.run_until_cancelled(serve).await });
    }

    async fn handle(self, mut req: Request<Incoming>) -> Response<ResponseBody> {
        let version = req.version();
        let span = self.shared.kernel.tracer.start_request(req.headers_mut(), "request");
        let result = self.run(req).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(problem) => problem.outcome.name(),
        };
        span.finish(outcome);
        Metrics::count(&self.shared.kernel.metrics.requests, outcome);
        let mut response = result.unwrap_or_else(Problem::into_response);
        if self.shared.closing.is_cancelled() && version < Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn run(&self, req: Request<Incoming>) -> Result<Response<ResponseBody>, Problem> {
        let (mut parts, body) = req.into_parts();
        let cx = self.context(&mut parts)?;
        let key = idempotency_key_digest(&cx, &parts);
        let kernel = &self.shared.kernel;
        let (hash, now) = (kernel.random().next(), Instant::now());
        let admits = |data_centre: &str| kernel.steering.admits(data_centre, hash, now);
        let route = route(&cx, kernel.id(), key.as_ref(), &admits, kernel.random().as_ref());
        let refused =
            |problem: &Problem| audit_requests::record_problem(&kernel.audit, &cx, None, problem);
        let body = read_body(body, cx.deadline).await.inspect_err(refused)?;
        let job = Job { parts, body };
        match (route, key) {
            (Route::Forward(member), _) if !cx.is_forwarded => {
                self.forward(&cx, job, &member).await
            }
            (Route::Local, Some(key)) => self.run_keyed(&cx, job, key).await,
            (Route::Local, None) => self.shared.executor.run(&cx, job, None).await,
            _ if kernel.is_leaving() => {
                audit_requests::record_refusal(&kernel.audit, &cx, RefusalReason::Leaving);
                Err(self.shared.dispatcher.refusal(&cx.service, RefusalReason::Leaving).into())
            }
            _ => {
                let detail = format!("no instance serves {} now", cx.service.service);
                Err(Problem::retry_later(detail, MIN_RETRY_AFTER)).inspect_err(refused)
            }
        }
    }

    fn context(&self, parts: &mut Parts) -> Result<RequestContext, Problem> {
        let kernel = &self.shared.kernel;
        let plan = kernel.plan();
        insert_host_header(parts);
        let (service, record) = service_of(&plan, parts)?;
        let deadline = deadline_of(&record, parts, Instant::now())?;
        let precedence = precedence_of(&record, parts);
        let forwarded_for = forward::verify(parts, kernel.peer_keys(), kernel.id());
        let is_forwarded = forwarded_for.is_some();
        let caller = forwarded_for.unwrap_or_else(|| self.caller());
        Ok(RequestContext { plan, service, record, caller, deadline, precedence, is_forwarded })
    }

    fn caller(&self) -> CallerId {
        self.peer.map(|peer| format_smolstr!("{}", peer.ip())).unwrap_or_default()
    }

    async fn run_keyed(
        &self,
        cx: &RequestContext,
        job: Job,
        key: KeyDigest,
    ) -> Result<Response<ResponseBody>, Problem> {
        let kernel = &self.shared.kernel;
        let accepted = accept(kernel, cx, key, &job.parts, job.body.buffered());
        let refused =
            |problem: &Problem| audit_requests::record_problem(&kernel.audit, cx, None, problem);
        let mut run = match accepted.inspect_err(refused)? {
            Accepted::Replay(response) => return Ok(response),
            Accepted::Run(run) => run,
        };
        match self.shared.executor.run(cx, job, Some(&mut run)).await {
            Ok(response) => Ok(run.finish_answered(response)),
            Err(problem) => {
                run.finish_refused(&problem);
                Err(problem)
            }
        }
    }

    async fn forward(
        &self,
        cx: &RequestContext,
        mut job: Job,
        member: &Member,
    ) -> Result<Response<ResponseBody>, Problem> {
        let kernel = &self.shared.kernel;
        let refuse = || Problem::retry_later("the request cannot be passed on", MIN_RETRY_AFTER);
        let (_, key) = kernel.peer_keys().first().ok_or_else(refuse)?;
        forward::sign(&mut job.parts, key, kernel.id(), &member.id, &cx.caller)
            .ok_or_else(refuse)?;
        let req = outgoing_request(&job.parts, &mut job.body, cx.deadline)?;
        let sent = self.shared.pool.send(member.request, req, cx.deadline).await;
        let response = sent.map_err(|failure| match failure.error {
            ExchangeError::NotSent(reason) => {
                let detail = format!("instance {} not reached: {reason}", member.id);
                Problem::retry_later(detail, MIN_RETRY_AFTER)
            }
            ExchangeError::DeadlineExceeded => {
                Problem::unknown(StatusCode::GATEWAY_TIMEOUT, failure.error.to_string())
            }
            error => Problem::unknown(StatusCode::BAD_GATEWAY, error.to_string()),
        })?;
        Ok(caller_response(response, |body| body))
    }
}

/// Waits until the shutdown has begun and [`CLOSE_GRACE`] has passed since.
async fn close_grace_elapsed(closing: &CancellationToken) {
    closing.cancelled().await;
    tokio::time::sleep(CLOSE_GRACE).await;
}

/// Returns the digest of the idempotency key of a request, or `None` if it carries none.
fn idempotency_key_digest(cx: &RequestContext, parts: &Parts) -> Option<KeyDigest> {
    let key = header_text(&parts.headers, IDEMPOTENCY_KEY_HEADER);
    (!key.is_empty()).then(|| key_digest(&cx.service.service, key.as_bytes()))
}

/// Reads a small body whole; a larger one is streamed to the backend server later.
async fn read_body(body: Incoming, deadline: Instant) -> Result<RequestBody, Problem> {
    let refuse = |detail: &str| Problem::not_run(StatusCode::REQUEST_TIMEOUT, detail);
    match timeout_at(deadline, RequestBody::read(body)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(err)) => Err(refuse(&err.to_string())),
        Err(_) => Err(refuse("the body did not arrive before the deadline")),
    }
}

impl tower::Service<Request<Incoming>> for RequestGateway {
    type Response = Response<ResponseBody>;
    type Error = std::convert::Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _cx: &mut TaskContext<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        let gateway = self.clone();
        Box::pin(async move { Ok(gateway.handle(req).await) })
    }
}
