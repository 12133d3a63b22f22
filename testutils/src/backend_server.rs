//! A backend server: echoes TCP connections of the packet forwarder and answers requests.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use hollyhead::backend_pool::ATTEMPT;
use hollyhead::flow::FlowKey;
use hollyhead::packet;
use hollyhead::problem::OUTCOME;
use hollyhead::request_route::REQUEST_TIMEOUT;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use serde_json::json;
use smoltcp::iface::SocketHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::fault::{Fault, Faults};
use crate::stack::Stack;

/// Header by which a caller names its request, for the log of executions.
pub const REQUEST_ID: &str = "x-request-id";
const LISTENERS: usize = 16;
const ECHO_CHUNK_BYTES: usize = 16 * 1024;
const IDLE_POLL: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES: usize = 10_000;

/// What a backend server has done.
#[derive(Debug, Default)]
pub struct Journal {
    executions: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<String>>,
    timeouts: Mutex<Vec<u64>>,
    running: AtomicU32,
    peak: AtomicU32,
    /// Faults to come.
    pub faults: Faults,
}

impl Journal {
    /// Returns the ids of the requests that ran, in order.
    pub fn executions(&self) -> Vec<String> {
        self.executions.lock().clone()
    }

    /// Returns the largest number of requests that ran at once.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }

    /// Returns how often a request ran.
    pub fn count(&self, id: &str) -> usize {
        self.executions.lock().iter().filter(|ran| *ran == id).count()
    }

    /// Returns the ids of the requests that were cancelled while they ran.
    pub fn cancelled(&self) -> Vec<String> {
        self.cancelled.lock().clone()
    }

    /// Returns the remaining times that requests arrived with, in milliseconds.
    pub fn timeouts(&self) -> Vec<u64> {
        self.timeouts.lock().clone()
    }

    fn start(&self, id: String) -> Execution<'_> {
        self.executions.lock().push(id.clone());
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        Execution { journal: self, id, is_finished: false }
    }
}

struct Execution<'a> {
    journal: &'a Journal,
    id: String,
    is_finished: bool,
}

impl Execution<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        self.journal.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_finished {
            self.journal.cancelled.lock().push(std::mem::take(&mut self.id));
        }
    }
}

type Answer = Response<BoxBody<Bytes, io::Error>>;

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Name of the target.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Address at which callers reach the service in the packet forwarder.
    pub service_address: SocketAddr,
    /// Time that a request takes.
    pub service_time: Duration,
}

impl BackendServer {
    /// Answers requests; never returns.
    pub async fn serve_requests(self, listener: TcpListener, journal: Arc<Journal>) {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (server, journal) = (self.clone(), Arc::clone(&journal));
            connections.spawn(async move {
                let service = service_fn(move |req| {
                    let (server, journal) = (server.clone(), Arc::clone(&journal));
                    async move { server.respond(req, &journal).await }
                });
                let builder = auto::Builder::new(TokioExecutor::new());
                if let Err(err) = builder.serve_connection(TokioIo::new(stream), service).await {
                    log::debug!("connection to a backend server ended: {err}");
                }
            });
        }
    }

    async fn respond(&self, req: Request<Incoming>, journal: &Journal) -> io::Result<Answer> {
        if req.uri().path() == "/stand-in/executions" {
            let body = json!({ "executions": journal.executions(), "peak": journal.peak() });
            return Ok(whole(StatusCode::OK, body.to_string()));
        }
        let id = header(&req, REQUEST_ID);
        journal.timeouts.lock().extend(header(&req, REQUEST_TIMEOUT).parse::<u64>());
        let fault = journal.faults.next();
        match fault {
            Fault::Shed => return Ok(shed()),
            Fault::Fail => return Ok(whole(StatusCode::INTERNAL_SERVER_ERROR, String::new())),
            _ => {}
        }
        let execution = journal.start(id.clone());
        let attempt = header(&req, ATTEMPT);
        let body = req.into_body().collect().await;
        tokio::time::sleep(self.service_time).await;
        if let Fault::Slow(time) = fault {
            tokio::time::sleep(time).await;
        }
        if fault == Fault::Silent {
            std::future::pending::<()>().await;
        }
        execution.finish();
        let Ok(body) = body else {
            return Ok(whole(StatusCode::BAD_REQUEST, String::new()));
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let answer =
            json!({ "service": self.service, "target": self.name, "id": id, "body": body });
        let mut response = whole(StatusCode::OK, answer.to_string());
        let attempt = if fault == Fault::WrongAttempt { "other".to_owned() } else { attempt };
        if let Ok(attempt) = HeaderValue::from_str(&attempt) {
            response.headers_mut().insert(ATTEMPT, attempt);
        }
        match fault {
            Fault::DisconnectBeforeResponse => Err(io::Error::other("cut before the answer")),
            Fault::DisconnectDuringResponse => Ok(response.map(|_| cut(&answer.to_string()))),
            _ => Ok(response),
        }
    }

    /// Echoes the bytes of TCP connections that arrive as packets; never returns.
    ///
    /// The first bytes of every connection are the service's name and a line feed.
    pub async fn serve_flows(self, socket: UdpSocket) {
        let mut echo = Echo::new(&self, Instant::now());
        let mut buf = vec![0; DATAGRAM_BYTES];
        loop {
            let wait = echo.stack.poll_delay(Instant::now()).unwrap_or(IDLE_POLL).min(IDLE_POLL);
            if let Ok(Ok((len, from))) =
                tokio::time::timeout(wait, socket.recv_from(&mut buf)).await
            {
                echo.push(from, &buf[..len]);
                while let Ok((len, from)) = socket.try_recv_from(&mut buf) {
                    echo.push(from, &buf[..len]);
                }
            }
            for (to, packet) in echo.step(Instant::now()) {
                if let Err(err) = socket.send_to(&packet, to).await {
                    log::debug!("packet of a backend server not sent: {err}");
                }
            }
        }
    }
}

fn header(req: &Request<Incoming>, name: &str) -> String {
    let value = req.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn whole(status: StatusCode, body: String) -> Answer {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn shed() -> Answer {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, String::new());
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static("not_run"));
    response
}

/// Returns a body that breaks off after half of its bytes.
fn cut(body: &str) -> BoxBody<Bytes, io::Error> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let frames = [Ok(Frame::data(half)), Err(io::Error::other("cut in the answer"))];
    let frames = futures::stream::iter(frames).then(|frame| async move {
        tokio::task::yield_now().await;
        frame
    });
    BodyExt::boxed(StreamBody::new(frames))
}

struct Echo {
    stack: Stack,
    port: u16,
    banner: Vec<u8>,
    connections: Vec<Connection>,
    routes: HashMap<FlowKey, SocketAddr>,
}

struct Connection {
    handle: SocketHandle,
    pending: Vec<u8>,
}

impl Echo {
    fn new(server: &BackendServer, now: Instant) -> Self {
        let stack = Stack::new(server.service_address.ip(), now);
        let mut echo = Self {
            stack,
            port: server.service_address.port(),
            banner: format!("{}\n", server.service).into_bytes(),
            connections: Vec::new(),
            routes: HashMap::new(),
        };
        (0..LISTENERS).for_each(|_| echo.listen());
        echo
    }

    fn listen(&mut self) {
        let handle = self.stack.listen(self.port);
        self.connections.push(Connection { handle, pending: self.banner.clone() });
    }

    fn push(&mut self, from: SocketAddr, buf: &[u8]) {
        if let Ok(info) = packet::parse(buf) {
            self.routes.insert(info.key, from);
            self.stack.push(buf.to_vec());
        }
    }

    fn step(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        self.stack.poll(now);
        for connection in &mut self.connections {
            echo_connection(&mut self.stack, connection);
        }
        self.replace_closed();
        self.stack.poll(now);
        let packets = self.stack.drain();
        packets.into_iter().filter_map(|packet| Some((self.route(&packet)?, packet))).collect()
    }

    fn route(&self, buf: &[u8]) -> Option<SocketAddr> {
        let info = packet::parse(buf).ok()?;
        self.routes.get(&info.key.reversed()).copied()
    }

    fn replace_closed(&mut self) {
        let stack = &mut self.stack;
        let before = self.connections.len();
        self.connections.retain(|connection| {
            let is_open = stack.tcp(connection.handle).is_open();
            if !is_open {
                stack.remove(connection.handle);
            }
            is_open
        });
        (self.connections.len()..before).for_each(|_| self.listen());
        let stack = &mut self.stack;
        let mut is_listening = |it: &&Connection| stack.tcp(it.handle).is_listening();
        let waiting = self.connections.iter().filter(|it| is_listening(it)).count();
        (waiting..LISTENERS).for_each(|_| self.listen());
    }
}

fn echo_connection(stack: &mut Stack, connection: &mut Connection) {
    let socket = stack.tcp(connection.handle);
    if !socket.is_active() {
        return;
    }
    while connection.pending.len() < ECHO_CHUNK_BYTES && socket.can_recv() {
        let received = socket.recv(|data| (data.len(), data.to_vec())).unwrap_or_default();
        connection.pending.extend_from_slice(&received);
    }
    if socket.can_send() && !connection.pending.is_empty() {
        let sent = socket.send_slice(&connection.pending).unwrap_or(0);
        connection.pending.drain(..sent);
    }
    if !socket.may_recv() && socket.may_send() && connection.pending.is_empty() {
        socket.close();
    }
}
