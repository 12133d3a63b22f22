//! Test double of a backend server: serves HTTP requests with injected faults, and echoes TCP
//! connections that arrive as packets from the packet forwarder.

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
use hollyhead::problem::OUTCOME_HEADER;
use hollyhead::request_route::REQUEST_TIMEOUT_HEADER;
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

/// Header with the id of a request, under which the server logs its execution.
pub const REQUEST_ID: &str = "x-request-id";
/// Number of listening sockets, each of which accepts one connection.
const LISTENING_SOCKETS: usize = 16;
const ECHO_BUFFER_BYTES: usize = 16 * 1024;
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_DATAGRAM_BYTES: usize = 10_000;

/// Record of the requests that a backend server has run, and the faults that it injects next.
#[derive(Debug, Default)]
pub struct Journal {
    executions: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<String>>,
    timeouts: Mutex<Vec<u64>>,
    running: AtomicU32,
    peak: AtomicU32,
    /// Faults of the next requests.
    pub faults: Faults,
}

impl Journal {
    /// Returns the ids of the requests that ran, in the order in which they started. A request that
    /// ran twice is listed twice.
    pub fn executions(&self) -> Vec<String> {
        self.executions.lock().clone()
    }

    /// Returns the largest number of requests that ran concurrently.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }

    /// Returns the number of times that the request with an id ran.
    pub fn count(&self, id: &str) -> usize {
        self.executions.lock().iter().filter(|ran| *ran == id).count()
    }

    /// Returns the ids of the requests that were cancelled while they ran.
    pub fn cancelled(&self) -> Vec<String> {
        self.cancelled.lock().clone()
    }

    /// Returns the values of the request-timeout header of the requests that arrived, in
    /// milliseconds.
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

/// A request that is running; dropped before it is finished, it counts as cancelled.
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

type BoxResponse = Response<BoxBody<Bytes, io::Error>>;

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Name of the target, which responses repeat.
    pub name: String,
    /// Name of the service, which responses repeat and which each echoed connection starts with.
    pub service: String,
    /// Address of the service, to which callers open the connections that are echoed.
    pub service_address: SocketAddr,
    /// Time that it takes to run a request without faults.
    pub service_time: Duration,
}

impl BackendServer {
    /// Serves HTTP requests; never returns.
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
                    log::debug!("connection to a backend server failed: {err}");
                }
            });
        }
    }

    async fn respond(&self, req: Request<Incoming>, journal: &Journal) -> io::Result<BoxResponse> {
        if req.uri().path() == "/stand-in/executions" {
            let body = json!({ "executions": journal.executions(), "peak": journal.peak() });
            return Ok(full_response(StatusCode::OK, body.to_string()));
        }
        let id = header_value(&req, REQUEST_ID);
        journal.timeouts.lock().extend(header_value(&req, REQUEST_TIMEOUT_HEADER).parse::<u64>());
        let fault = journal.faults.next();
        match fault {
            Fault::Shed => return Ok(shed_response()),
            Fault::Fail => {
                return Ok(full_response(StatusCode::INTERNAL_SERVER_ERROR, String::new()))
            }
            _ => {}
        }
        let execution = journal.start(id.clone());
        let attempt = header_value(&req, ATTEMPT);
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
            return Ok(full_response(StatusCode::BAD_REQUEST, String::new()));
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let content =
            json!({ "service": self.service, "target": self.name, "id": id, "body": body });
        let mut response = full_response(StatusCode::OK, content.to_string());
        let attempt = if fault == Fault::WrongAttempt { "other".to_owned() } else { attempt };
        if let Ok(attempt) = HeaderValue::from_str(&attempt) {
            response.headers_mut().insert(ATTEMPT, attempt);
        }
        match fault {
            Fault::DisconnectBeforeResponse => {
                Err(io::Error::other("injected fault: connection closed before the response"))
            }
            Fault::DisconnectDuringResponse => {
                Ok(response.map(|_| truncated_body(&content.to_string())))
            }
            _ => Ok(response),
        }
    }

    /// Echoes the data of TCP connections whose packets arrive in UDP datagrams; never returns.
    ///
    /// The server starts each connection by sending the name of the service and a line feed, so
    /// that a caller can verify which service it has reached.
    pub async fn serve_flows(self, socket: UdpSocket) {
        let mut echo = EchoServer::new(&self, Instant::now());
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let wait = echo
                .stack
                .poll_delay(Instant::now())
                .unwrap_or(MAX_POLL_INTERVAL)
                .min(MAX_POLL_INTERVAL);
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
                    log::debug!("packet of a backend server to {to} not sent: {err}");
                }
            }
        }
    }
}

fn header_value(req: &Request<Incoming>, name: &str) -> String {
    let value = req.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn full_response(status: StatusCode, body: String) -> BoxResponse {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn shed_response() -> BoxResponse {
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not_run"));
    response
}

/// Returns a body that fails after half of its bytes.
fn truncated_body(body: &str) -> BoxBody<Bytes, io::Error> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let frames =
        [Ok(Frame::data(half)), Err(io::Error::other("injected fault: response truncated"))];
    let frames = futures::stream::iter(frames).then(|frame| async move {
        tokio::task::yield_now().await;
        frame
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// Echo server on a TCP/IP stack in memory.
struct EchoServer {
    stack: Stack,
    port: u16,
    banner: Vec<u8>,
    connections: Vec<Connection>,
    /// Address from which the last packet of each flow arrived; the replies go there.
    reply_addresses: HashMap<FlowKey, SocketAddr>,
}

struct Connection {
    handle: SocketHandle,
    pending: Vec<u8>,
}

impl EchoServer {
    fn new(server: &BackendServer, now: Instant) -> Self {
        let stack = Stack::new(server.service_address.ip(), now);
        let mut echo = Self {
            stack,
            port: server.service_address.port(),
            banner: format!("{}\n", server.service).into_bytes(),
            connections: Vec::new(),
            reply_addresses: HashMap::new(),
        };
        (0..LISTENING_SOCKETS).for_each(|_| echo.listen());
        echo
    }

    fn listen(&mut self) {
        let handle = self.stack.listen(self.port);
        self.connections.push(Connection { handle, pending: self.banner.clone() });
    }

    fn push(&mut self, from: SocketAddr, buf: &[u8]) {
        if let Ok(info) = packet::parse(buf) {
            self.reply_addresses.insert(info.key, from);
            self.stack.push(buf.to_vec());
        }
    }

    fn step(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        self.stack.poll(now);
        for connection in &mut self.connections {
            echo_connection(&mut self.stack, connection);
        }
        self.replenish_listeners();
        self.stack.poll(now);
        let packets = self.stack.drain();
        packets
            .into_iter()
            .filter_map(|packet| Some((self.reply_address(&packet)?, packet)))
            .collect()
    }

    fn reply_address(&self, buf: &[u8]) -> Option<SocketAddr> {
        let info = packet::parse(buf).ok()?;
        self.reply_addresses.get(&info.key.reversed()).copied()
    }

    /// Replaces closed sockets, and adds sockets until enough of them listen.
    fn replenish_listeners(&mut self) {
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
        let listening = self.connections.iter().filter(|it| is_listening(it)).count();
        (listening..LISTENING_SOCKETS).for_each(|_| self.listen());
    }
}

fn echo_connection(stack: &mut Stack, connection: &mut Connection) {
    let socket = stack.tcp(connection.handle);
    if !socket.is_active() {
        return;
    }
    while connection.pending.len() < ECHO_BUFFER_BYTES && socket.can_recv() {
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
