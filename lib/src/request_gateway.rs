//! The request gateway: takes HTTP requests and has them run by backend servers.

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
use crate::backend_pool::{BackendPool, ExchangeError};
use crate::dispatcher::Dispatcher;
use crate::fair_queue::CallerId;
use crate::forward::{self, text, IDEMPOTENCY_KEY};
use crate::kernel::Kernel;
use crate::key_ledger::{key_digest, KeyDigest};
use crate::keyed_run::{accept, Accepted};
use crate::metrics::Metrics;
use crate::problem::Problem;
use crate::request_body::{Body, InBody};
use crate::request_executor::{answer, outgoing, Job, RequestExecutor};
use crate::request_route::{
    deadline_of, name_host, precedence_of, route, service_of, Context, Route,
};
use crate::view::Member;

/// Time that connections stay open for further requests after the announcement of a stop.
pub const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// The request gateway of one instance.
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
    cut: CancellationToken,
}

impl RequestGateway {
    /// Creates the request gateway of an instance.
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
            cut: CancellationToken::new(),
        };
        Self { shared: Arc::new(shared), peer: None }
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting(&self, service: &str) -> usize {
        self.shared.dispatcher.waiting(service)
    }

    /// Returns a guard that cuts all connections of callers off when it is dropped.
    pub fn guard(&self) -> DropGuard {
        self.shared.cut.clone().drop_guard()
    }

    /// Serves connections of a listener; never returns.
    pub async fn serve(self, listener: TcpListener) {
        let dispatcher = Arc::clone(&self.shared.dispatcher);
        let kernel = Arc::clone(&self.shared.kernel);
        let dispatch = async {
            loop {
                kernel.granted.notified().await;
                dispatcher.dispatch_all();
                self.shared.pool.close_expired(Instant::now());
            }
        };
        let accept = async {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => self.spawn(stream, peer),
                    Err(err) => log::warn!("connection of a caller not accepted: {err}"),
                }
            }
        };
        tokio::join!(dispatch, accept);
    }

    /// Refuses what waits and what comes, and waits until running requests have ended, at most for
    /// `limit`.
    pub async fn close(&self, limit: Duration) {
        self.shared.dispatcher.close();
        self.shared.closing.cancel();
        self.shared.connections.close();
        if tokio::time::timeout(limit, self.shared.connections.wait()).await.is_err() {
            log::warn!("{} connections of callers cut off", self.shared.connections.len());
        }
    }

    fn spawn(&self, stream: tokio::net::TcpStream, peer: SocketAddr) {
        let gateway = Self { shared: Arc::clone(&self.shared), peer: Some(peer) };
        let (closing, cut) = (self.shared.closing.clone(), self.shared.cut.clone());
        let serve = async move {
            let service = TowerToHyperService::new(gateway);
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = close_time(&closing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(err) = result {
                log::debug!("connection of a caller ended: {err}");
            }
        };
        self.shared.connections.spawn(async move { cut.run_until_cancelled(serve).await });
    }

    async fn handle(self, mut req: Request<Incoming>) -> Response<Body> {
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

    async fn run(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let (mut parts, body) = req.into_parts();
        let cx = self.context(&mut parts)?;
        let key = key_of(&cx, &parts);
        let kernel = &self.shared.kernel;
        let (hash, now) = (kernel.random().next(), Instant::now());
        let admits = |data_centre: &str| kernel.steering.admits(data_centre, hash, now);
        let route = route(&cx, kernel.id(), key.as_ref(), &admits, kernel.random().as_ref());
        let body = read(body, cx.deadline).await?;
        let job = Job { parts, body };
        match (route, key) {
            (Route::Other(member), _) if !cx.is_forwarded => self.forward(&cx, job, &member).await,
            (Route::Here, Some(key)) => self.run_keyed(&cx, job, key).await,
            (Route::Here, None) => self.shared.executor.run(&cx, job, None).await,
            _ if kernel.is_leaving() => {
                Err(self.shared.dispatcher.refusal(&cx.service, RefusalReason::Leaving).into())
            }
            _ => {
                let detail = format!("no instance serves {} now", cx.service.service);
                Err(Problem::retry_later(detail, MIN_RETRY_AFTER))
            }
        }
    }

    fn context(&self, parts: &mut Parts) -> Result<Context, Problem> {
        let kernel = &self.shared.kernel;
        let plan = kernel.plan();
        name_host(parts);
        let (service, record) = service_of(&plan, parts)?;
        let deadline = deadline_of(&record, parts, Instant::now())?;
        let precedence = precedence_of(&record, parts);
        let forwarded_for = forward::verify(parts, kernel.peer_keys(), kernel.id());
        let is_forwarded = forwarded_for.is_some();
        let caller = forwarded_for.unwrap_or_else(|| self.caller());
        Ok(Context { plan, service, record, caller, deadline, precedence, is_forwarded })
    }

    fn caller(&self) -> CallerId {
        self.peer.map(|peer| format_smolstr!("{}", peer.ip())).unwrap_or_default()
    }

    async fn run_keyed(
        &self,
        cx: &Context,
        job: Job,
        key: KeyDigest,
    ) -> Result<Response<Body>, Problem> {
        let kernel = &self.shared.kernel;
        let mut run = match accept(kernel, cx, key, &job.parts, job.body.kept())? {
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
        cx: &Context,
        mut job: Job,
        member: &Member,
    ) -> Result<Response<Body>, Problem> {
        let kernel = &self.shared.kernel;
        let refuse = || Problem::retry_later("the request cannot be passed on", MIN_RETRY_AFTER);
        let (_, key) = kernel.peer_keys().first().ok_or_else(refuse)?;
        forward::sign(&mut job.parts, key, kernel.id(), &member.id, &cx.caller)
            .ok_or_else(refuse)?;
        let req = outgoing(&job.parts, &mut job.body, cx.deadline)?;
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
        Ok(answer(response, |body| body))
    }
}

/// Waits until a connection of a stopping instance is to be closed. New callers may still come
/// until they have heard of the stop.
async fn close_time(closing: &CancellationToken) {
    closing.cancelled().await;
    tokio::time::sleep(CLOSE_GRACE).await;
}

fn key_of(cx: &Context, parts: &Parts) -> Option<KeyDigest> {
    let key = text(&parts.headers, IDEMPOTENCY_KEY);
    (!key.is_empty()).then(|| key_digest(&cx.service.service, key.as_bytes()))
}

async fn read(body: Incoming, deadline: Instant) -> Result<InBody, Problem> {
    let refuse = |detail: &str| Problem::not_run(StatusCode::REQUEST_TIMEOUT, detail);
    match timeout_at(deadline, InBody::read(body)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(err)) => Err(refuse(&err.to_string())),
        Err(_) => Err(refuse("the body did not arrive before the deadline")),
    }
}

impl tower::Service<Request<Incoming>> for RequestGateway {
    type Response = Response<Body>;
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
