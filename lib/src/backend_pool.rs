//! Pooled HTTP/1.1 connections to backend servers and to other instances.
//!
//! One connection carries one exchange at a time, so an answer belongs to the request that was
//! sent last. A connection whose exchange was given up is closed and never used again: the close
//! cancels the request, and a late answer has nowhere to arrive.

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
use crate::progress::{ProgressBoard, Silence};
use crate::request_body::{BodyError, OutBody};

/// Header that numbers the attempt; an answer that repeats another number is not used.
pub const ATTEMPT: &str = "hollyhead-attempt";
/// Longest time that opening a connection takes.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Idle connections kept for one address.
pub const MAX_IDLE: usize = 64;
/// Silence in the middle of an answer after which it is cut off.
pub const BODY_SILENCE: Duration = Duration::from_secs(30);
/// Time after which sent but unacknowledged bytes break a connection.
pub const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Failure of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The request was sent, and its deadline passed.
    #[error("no answer before the deadline")]
    DeadlineExceeded,
    /// The answer is one to another attempt.
    #[error("the answer is one to another request")]
    Crossed,
}

/// Failure of an exchange, and whether it tells anything about the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What failed.
    pub error: ExchangeError,
    /// Whether the connection alone was at fault.
    pub is_connection_only: bool,
}

struct Link {
    sender: SendRequest<OutBody>,
    _task: AbortOnDropHandle<()>,
}

struct Idle {
    link: Link,
    since: Instant,
}

/// Pooled connections.
#[derive(Default)]
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    attempts: AtomicU64,
    progress: ProgressBoard,
}

impl BackendPool {
    /// Sends a request and returns the answer, whose body goes on to arrive.
    ///
    /// # Errors
    ///
    /// Returns what failed; only [`ExchangeError::NotSent`] means that the request did not run.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut req: Request<OutBody>,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, Failure> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        req.headers_mut().insert(ATTEMPT, HeaderValue::from(attempt));
        loop {
            let (mut link, is_reused) = self.link(address, deadline).await?;
            let sent = Instant::now();
            match timeout_at(deadline, link.sender.try_send_request(req)).await {
                Err(_) => return Err(self.failure(address, sent, ExchangeError::DeadlineExceeded)),
                Ok(Ok(response)) => {
                    self.progress.note(address, Instant::now());
                    return self.answer(address, link, response, attempt);
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

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.idle.lock().retain(|_, list| {
            list.retain(|it| is_usable(it, now));
            !list.is_empty()
        });
    }

    fn answer(
        self: &Arc<Self>,
        address: SocketAddr,
        link: Link,
        response: Response<Incoming>,
        attempt: u64,
    ) -> Result<Response<ResponseBody>, Failure> {
        let echoed = response.headers().get(ATTEMPT);
        if echoed.is_some_and(|echoed| *echoed != HeaderValue::from(attempt)) {
            let error = ExchangeError::Crossed;
            return Err(Failure { error, is_connection_only: true });
        }
        let pool = Arc::clone(self);
        Ok(response.map(|body| ResponseBody::new(body, pool, address, link)))
    }

    fn failure(&self, address: SocketAddr, sent: Instant, error: ExchangeError) -> Failure {
        let silence = self.progress.judge(address, sent);
        if silence == Silence::Connection {
            self.drop_idle_before(address, sent);
        }
        Failure { error, is_connection_only: silence == Silence::Connection }
    }

    async fn link(&self, address: SocketAddr, deadline: Instant) -> Result<(Link, bool), Failure> {
        while let Some(link) = self.take_idle(address, Instant::now()) {
            if link.sender.is_ready() {
                return Ok((link, true));
            }
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match timeout_at(until, connect(address)).await {
            Ok(Ok(link)) => Ok((link, false)),
            Ok(Err(reason)) => Err(not_sent(reason)),
            Err(_) => Err(not_sent("connection not opened in time".into())),
        }
    }

    fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<Link> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        list.retain(|it| is_usable(it, now));
        list.pop().map(|it| it.link)
    }

    fn drop_idle_before(&self, address: SocketAddr, sent: Instant) {
        if let Some(list) = self.idle.lock().get_mut(&address) {
            list.retain(|it| it.since > sent);
        }
    }

    fn put(&self, address: SocketAddr, link: Link) {
        if link.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle { link, since: Instant::now() });
        }
    }
}

fn is_usable(idle: &Idle, now: Instant) -> bool {
    now < idle.since + MAX_IDLE_TIME && !idle.link.sender.is_closed()
}

fn not_sent(reason: String) -> Failure {
    Failure { error: ExchangeError::NotSent(reason), is_connection_only: false }
}

async fn connect(address: SocketAddr) -> Result<Link, String> {
    let stream = TcpStream::connect(address).await.map_err(|err| err.to_string())?;
    watch(&stream).map_err(|err| err.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} ended: {err}");
        }
    });
    let link_task = AbortOnDropHandle::new(task);
    sender.ready().await.map_err(|err| err.to_string())?;
    Ok(Link { sender, _task: link_task })
}

/// Has the operating system break a connection that the other side has lost track of.
fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))
}

/// Body of an answer. At its whole end the connection returns to the pool; dropped earlier, it
/// closes the connection.
pub struct ResponseBody {
    body: Incoming,
    pool: Arc<BackendPool>,
    address: SocketAddr,
    link: Option<Link>,
    is_whole: bool,
    is_waiting: bool,
    silence: Pin<Box<Sleep>>,
}

impl ResponseBody {
    fn new(body: Incoming, pool: Arc<BackendPool>, address: SocketAddr, link: Link) -> Self {
        let silence = Box::pin(tokio::time::sleep(BODY_SILENCE));
        let link = Some(link);
        Self { body, pool, address, link, is_whole: false, is_waiting: false, silence }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let now = Instant::now();
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            if !std::mem::replace(&mut self.is_waiting, true) {
                self.silence.as_mut().reset(now + BODY_SILENCE);
            }
            ready!(self.silence.as_mut().poll(cx));
            self.link = None;
            return Poll::Ready(Some(Err(BodyError::Silent)));
        };
        self.is_waiting = false;
        self.pool.progress.note(self.address, now);
        self.is_whole |= frame.is_none();
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Cut)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            if self.is_whole || self.body.is_end_stream() {
                self.pool.put(self.address, link);
            }
        }
    }
}
