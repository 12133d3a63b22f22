//! Pool of HTTP/1.1 connections to backend servers and to other instances.
//!
//! A connection carries one exchange at a time without pipelining, so a response belongs to the
//! request that was sent last. A connection whose exchange was abandoned is closed and never
//! reused: the close cancels the request, and a late response cannot be taken for that of another
//! request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant, Sleep};
use tokio_util::task::AbortOnDropHandle;

use crate::collections::HashMap;
use crate::progress::{ProgressTracker, StallScope};
use crate::request_body::{BodyError, OutgoingBody};

/// Header with the number of the attempt. A server may repeat it in the response; a response with
/// another number is discarded.
pub const ATTEMPT: &str = "hollyhead-attempt";
/// Timeout for establishing a connection. An earlier deadline of the request takes precedence.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed rather than reused.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of idle connections that are kept for one address.
pub const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Time without data in the middle of a response body after which the exchange is aborted.
pub const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the operating system closes a connection whose sent data is unacknowledged.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why an exchange brought no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The request was sent, and its deadline passed before the response began.
    #[error("no answer before the deadline")]
    DeadlineExceeded,
    /// The response repeats the number of another attempt.
    #[error("the answer is one to another request")]
    Crossed,
}

/// Failure of an exchange, and whether it may count against the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Reason of the failure, which says whether the request may have run.
    pub error: ExchangeError,
    /// Whether only this connection failed, while other connections to the address work.
    pub is_connection_only: bool,
}

/// Open connection, which closes when it is dropped.
struct Connection {
    sender: SendRequest<OutgoingBody>,
    _task: AbortOnDropHandle<()>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Pool of connections, by address.
#[derive(Default)]
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    next_attempt: AtomicU64,
    progress: ProgressTracker,
}

impl BackendPool {
    /// Sends a request and returns the response as soon as its headers have arrived.
    ///
    /// An idle connection may turn out to be closed before any byte of the request is sent; the
    /// request then goes over another connection.
    ///
    /// # Errors
    ///
    /// Returns the failure of the exchange; only [`ExchangeError::NotSent`] means that the request
    /// did not run.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut req: Request<OutgoingBody>,
        deadline: Instant,
    ) -> Result<Response<PooledResponseBody>, Failure> {
        let attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        req.headers_mut().insert(ATTEMPT, HeaderValue::from(attempt));
        loop {
            let (mut connection, is_reused) = self.acquire(address, deadline).await?;
            let sent = Instant::now();
            match timeout_at(deadline, connection.sender.try_send_request(req)).await {
                Err(_) => return Err(self.failure(address, sent, ExchangeError::DeadlineExceeded)),
                Ok(Ok(response)) => {
                    self.progress.record_progress(address, Instant::now());
                    return self.accept_response(address, connection, response, attempt);
                }
                Ok(Err(mut err)) => match err.take_message() {
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(not_sent(err.error().to_string())),
                    None => {
                        let error = ExchangeError::NoResponse(err.error().to_string());
                        return Err(self.failure(address, sent, error));
                    }
                },
            }
        }
    }

    /// Returns the number of idle connections to an address.
    pub fn idle(&self, address: SocketAddr) -> usize {
        self.idle.lock().get(&address).map_or(0, Vec::len)
    }

    /// Closes connections that have been idle for [`IDLE_TIMEOUT`].
    pub fn close_expired(&self, now: Instant) {
        self.idle.lock().retain(|_, list| {
            list.retain(|it| is_usable(it, now));
            !list.is_empty()
        });
    }

    /// Checks the attempt number of a response and wraps its body, which holds the connection.
    fn accept_response(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
        attempt: u64,
    ) -> Result<Response<PooledResponseBody>, Failure> {
        let echoed = response.headers().get(ATTEMPT);
        if echoed.is_some_and(|echoed| *echoed != HeaderValue::from(attempt)) {
            let error = ExchangeError::Crossed;
            return Err(Failure { error, is_connection_only: true });
        }
        let pool = Arc::clone(self);
        Ok(response.map(|body| PooledResponseBody::new(body, pool, address, connection)))
    }

    /// Classifies the failure of a sent request. If only the connection failed, idle connections
    /// from before the request may have failed the same way, so they are closed.
    fn failure(&self, address: SocketAddr, sent: Instant, error: ExchangeError) -> Failure {
        let scope = self.progress.stall_scope(address, sent);
        if scope == StallScope::Connection {
            self.close_idle_before(address, sent);
        }
        Failure { error, is_connection_only: scope == StallScope::Connection }
    }

    /// Returns an idle connection or a new one, and whether it was idle.
    async fn acquire(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<(Connection, bool), Failure> {
        while let Some(connection) = self.take_idle(address, Instant::now()) {
            if connection.sender.is_ready() {
                return Ok((connection, true));
            }
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match timeout_at(until, connect(address)).await {
            Ok(Ok(connection)) => Ok((connection, false)),
            Ok(Err(reason)) => Err(not_sent(reason)),
            Err(_) => Err(not_sent("connection not opened in time".into())),
        }
    }

    fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        list.retain(|it| is_usable(it, now));
        list.pop().map(|it| it.connection)
    }

    fn close_idle_before(&self, address: SocketAddr, sent: Instant) {
        if let Some(list) = self.idle.lock().get_mut(&address) {
            list.retain(|it| it.since > sent);
        }
    }

    /// Puts a connection back into the pool, unless it is closed or the pool is full.
    fn release(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection { connection, since: Instant::now() });
        }
    }
}

fn is_usable(idle: &IdleConnection, now: Instant) -> bool {
    now < idle.since + IDLE_TIMEOUT && !idle.connection.sender.is_closed()
}

fn not_sent(reason: String) -> Failure {
    Failure { error: ExchangeError::NotSent(reason), is_connection_only: false }
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
    configure(&stream).map_err(|err| err.to_string())?;
    let (mut sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(err) = driver.await {
            log::debug!("connection to {address} failed: {err}");
        }
    });
    let driver_task = AbortOnDropHandle::new(task);
    sender.ready().await.map_err(|err| err.to_string())?;
    Ok(Connection { sender, _task: driver_task })
}

/// Disables Nagle's algorithm, and has the operating system close a connection whose peer is
/// unreachable or has lost the connection's state.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Body of a response, which holds its connection. Once the body is read to its end, the connection
/// goes back into the pool; a body that is dropped earlier closes the connection.
pub struct PooledResponseBody {
    body: Incoming,
    pool: Arc<BackendPool>,
    address: SocketAddr,
    connection: Option<Connection>,
    is_complete: bool,
    is_waiting: bool,
    read_timeout: Pin<Box<Sleep>>,
}

impl PooledResponseBody {
    fn new(
        body: Incoming,
        pool: Arc<BackendPool>,
        address: SocketAddr,
        connection: Connection,
    ) -> Self {
        let read_timeout = Box::pin(tokio::time::sleep(BODY_READ_TIMEOUT));
        let connection = Some(connection);
        Self {
            body,
            pool,
            address,
            connection,
            is_complete: false,
            is_waiting: false,
            read_timeout,
        }
    }
}

impl http_body::Body for PooledResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let now = Instant::now();
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            if !std::mem::replace(&mut self.is_waiting, true) {
                self.read_timeout.as_mut().reset(now + BODY_READ_TIMEOUT);
            }
            ready!(self.read_timeout.as_mut().poll(cx));
            self.connection = None;
            return Poll::Ready(Some(Err(BodyError::IdleTimeout)));
        };
        self.is_waiting = false;
        self.pool.progress.record_progress(self.address, now);
        self.is_complete |= frame.is_none();
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Interrupted)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PooledResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            if self.is_complete || self.body.is_end_stream() {
                self.pool.release(self.address, connection);
            }
        }
    }
}
