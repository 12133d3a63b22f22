//! Stand-in for a target of the users' platform. It accepts flows over UDP, responds to health
//! checks over TCP, and renews its registration in the object store.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use parking_lot::Mutex;
use serde_json::json;
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::echo_packet::{EchoPacket, ACK, RST, SYN};
use crate::flow_endpoint::{FlowEndpoint, OutgoingSegment};
use crate::flow_message::{AttemptId, FlowRequest};
use crate::object_store::ObjectStore;

/// Interval at which a target renews its registration in the object store.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const TICK_INTERVAL: Duration = Duration::from_millis(5);
const TOKEN_BYTES: usize = 8;
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Addresses of the two endpoints of a flow: caller and service.
pub type FlowEnds = (SocketAddrV4, SocketAddrV4);

/// Event that a target reports to the test.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// The caller has completed the handshake of a flow.
    Opened {
        /// Addresses of the flow.
        flow: FlowEnds,
        /// Name of the target.
        target: SmolStr,
        /// Instance that forwarded the opening packet.
        via: Ipv4Addr,
        /// Time at which the first opening packet arrived.
        at: Instant,
    },
    /// A request began to run.
    RequestStarted {
        /// Id of the request.
        id: AttemptId,
        /// Name of the target.
        target: SmolStr,
    },
    /// A packet arrived that belongs to no flow of the target.
    UnknownFlow {
        /// Addresses of the flow.
        flow: FlowEnds,
        /// Name of the target.
        target: SmolStr,
        /// Instance that forwarded the packet.
        via: Ipv4Addr,
        /// Time at which the packet arrived.
        at: Instant,
    },
    /// A packet arrived that could not be decoded, for example because its checksum does not match.
    Corrupted {
        /// Reason why the packet could not be decoded.
        reason: String,
    },
}

/// Parameters of a target.
#[derive(Clone, Debug)]
pub struct EchoTargetSetup {
    /// Name of the target. The digits after its last dash are hexadecimal; the target accepts
    /// packets that carry this number, or 0, as their token.
    pub id: SmolStr,
    /// Service that the target belongs to.
    pub service: SmolStr,
    /// Data centre in which the target runs.
    pub data_centre: SmolStr,
    /// Address for datagrams (UDP) and for health checks (TCP).
    pub address: SocketAddrV4,
    /// Port at which callers receive packets.
    pub caller_port: u16,
    /// Largest number of requests that run concurrently.
    pub slots: usize,
    /// Length of the cold start: the time after its start during which the target reports itself as
    /// cold.
    pub cold_start: Duration,
}

/// Injected faults and lifecycle state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetBehaviour {
    /// Whether the target has stopped: it receives, sends and renews nothing.
    pub is_frozen: bool,
    /// Whether the target is draining: its registration says so, its health checks fail, and it
    /// closes a flow after a response.
    pub is_draining: bool,
    /// Whether responses to health checks wait until the flag is cleared.
    pub delays_health_checks: bool,
}

/// A running target. Dropping it simulates a crash: flows are not closed, and the registration
/// expires.
pub struct EchoTarget {
    setup: EchoTargetSetup,
    behaviour: Arc<Mutex<TargetBehaviour>>,
    _tasks: JoinSet<()>,
}

impl EchoTarget {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        setup: EchoTargetSetup,
        store: Arc<ObjectStore>,
        events: UnboundedSender<TargetEvent>,
    ) -> Result<Self> {
        let socket =
            UdpSocket::bind(setup.address).await.context("binding the UDP socket of a target")?;
        let health = TcpListener::bind(setup.address)
            .await
            .context("binding the health check port of a target")?;
        let behaviour = Arc::new(Mutex::new(TargetBehaviour::default()));
        let flows = TargetFlows::new(setup.clone(), socket, Arc::clone(&behaviour), events);
        let mut tasks = JoinSet::new();
        tasks.spawn(flows.run());
        tasks.spawn(serve_health(health, Arc::clone(&behaviour)));
        tasks.spawn(register(setup.clone(), store, Arc::clone(&behaviour)));
        Ok(Self { setup, behaviour, _tasks: tasks })
    }

    /// Returns the parameters that the target was started with.
    pub fn setup(&self) -> &EchoTargetSetup {
        &self.setup
    }

    /// Applies `change` to the behaviour of the target.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        change(&mut self.behaviour.lock());
    }
}

async fn register(
    setup: EchoTargetSetup,
    store: Arc<ObjectStore>,
    behaviour: Arc<Mutex<TargetBehaviour>>,
) {
    let started = Instant::now();
    let mut sequence = 0_u64;
    let mut reported_draining = false;
    let mut next_renewal = started;
    loop {
        let TargetBehaviour { is_frozen, is_draining, .. } = *behaviour.lock();
        if !is_frozen && (Instant::now() >= next_renewal || is_draining != reported_draining) {
            sequence += 1;
            let cold_left = setup.cold_start.saturating_sub(started.elapsed());
            let spec = json!({
                "service": setup.service,
                "address": setup.address,
                "zone": setup.data_centre,
                "version": "1",
                "slots": setup.slots,
                "state": if is_draining { "draining" } else { "ready" },
                "cold-left-ms": cold_left.as_millis() as u64,
                "sequence": sequence,
            });
            if store.register_server(&setup.id, spec, Instant::now() + 3 * HEARTBEAT_INTERVAL) {
                reported_draining = is_draining;
                next_renewal = Instant::now() + HEARTBEAT_INTERVAL;
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL / 24).await;
    }
}

async fn serve_health(listener: TcpListener, behaviour: Arc<Mutex<TargetBehaviour>>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let behaviour = Arc::clone(&behaviour);
        tokio::spawn(async move {
            let mut buf = [0; MAX_DATAGRAM_BYTES];
            if stream.read(&mut buf).await.is_err() {
                return;
            }
            while behaviour.lock().is_frozen || behaviour.lock().delays_health_checks {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
            let status = if behaviour.lock().is_draining { "503 Leaving" } else { "200 OK" };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            if let Err(err) = stream.write_all(answer.as_bytes()).await {
                log::debug!("response to a health check not sent: {err}");
            }
        });
    }
}

struct TargetFlow {
    end: FlowEndpoint,
    stream: Vec<u8>,
    echo: u32,
    first_seq: u32,
    caller_seq: u32,
    /// Instance that forwarded the first opening packet, and the time at which it arrived.
    opening: (Ipv4Addr, Instant),
    is_open: bool,
}

struct QueuedRequest {
    flow: FlowEnds,
    req: FlowRequest,
    /// Time at which the request completes; `None` while it waits for a slot.
    finishes_at: Option<Instant>,
}

struct TargetFlows {
    setup: EchoTargetSetup,
    token: u64,
    socket: UdpSocket,
    behaviour: Arc<Mutex<TargetBehaviour>>,
    events: UnboundedSender<TargetEvent>,
    flows: HashMap<FlowEnds, TargetFlow>,
    queue: VecDeque<QueuedRequest>,
    next_seq: u32,
}

impl TargetFlows {
    fn new(
        setup: EchoTargetSetup,
        socket: UdpSocket,
        behaviour: Arc<Mutex<TargetBehaviour>>,
        events: UnboundedSender<TargetEvent>,
    ) -> Self {
        let digits = setup.id.rsplit('-').next().unwrap_or_default();
        let token = u64::from_str_radix(digits, 16).unwrap_or_default();
        let (flows, queue) = (HashMap::new(), VecDeque::new());
        Self { setup, token, socket, behaviour, events, flows, queue, next_seq: 1_000 }
    }

    async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    let Ok((len, from)) = received else { continue };
                    if !self.behaviour.lock().is_frozen {
                        self.on_datagram(&buf[..len], from).await;
                    }
                }
                _ = tick.tick() => {
                    if !self.behaviour.lock().is_frozen {
                        self.process().await;
                    }
                }
            }
        }
    }

    async fn on_datagram(&mut self, buf: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else { return };
        let Some((token, packet)) = buf.split_first_chunk::<TOKEN_BYTES>() else { return };
        let token = u64::from_be_bytes(*token);
        let packet = match EchoPacket::decode(packet) {
            Ok((packet, _)) => packet,
            Err(err) => return self.emit(TargetEvent::Corrupted { reason: err.to_string() }),
        };
        if token != 0 && token != self.token {
            return;
        }
        let flow = (packet.from, packet.to);
        if packet.has(SYN) {
            self.on_opening(flow, &packet, *from.ip()).await;
        } else if self.flows.contains_key(&flow) {
            self.on_flow_packet(flow, &packet).await;
        } else {
            let (target, at) = (self.setup.id.clone(), Instant::now());
            self.emit(TargetEvent::UnknownFlow { flow, target, via: *from.ip(), at });
            if !packet.has(RST) {
                self.reset(flow, &packet).await;
            }
        }
    }

    async fn on_opening(&mut self, flow: FlowEnds, packet: &EchoPacket, via: Ipv4Addr) {
        self.next_seq = self.next_seq.wrapping_add(0x0010_0001);
        let first_seq = self.next_seq;
        let entry = self.flows.entry(flow).or_insert_with(|| TargetFlow {
            end: FlowEndpoint::new(first_seq.wrapping_add(1), packet.seq.wrapping_add(1)),
            stream: Vec::new(),
            echo: packet.echo,
            first_seq,
            caller_seq: packet.seq,
            opening: (via, Instant::now()),
            is_open: false,
        });
        entry.echo = packet.echo;
        let segment = OutgoingSegment {
            flags: SYN | ACK,
            seq: entry.first_seq,
            ack: entry.caller_seq.wrapping_add(1),
            data: Vec::new(),
        };
        let echo = entry.echo;
        self.send(flow, segment, echo).await;
    }

    async fn on_flow_packet(&mut self, flow: FlowEnds, packet: &EchoPacket) {
        let Some(entry) = self.flows.get_mut(&flow) else { return };
        if packet.has(RST) {
            self.flows.remove(&flow);
            return;
        }
        entry.echo = packet.echo;
        let was_open = entry.is_open;
        entry.is_open = true;
        entry.end.on_packet(packet, Instant::now());
        entry.stream.extend(entry.end.take_received());
        let (via, at) = entry.opening;
        let mut requests = Vec::new();
        while let Some(req) = FlowRequest::take(&mut entry.stream) {
            requests.push(req);
        }
        if !was_open {
            let target = self.setup.id.clone();
            self.emit(TargetEvent::Opened { flow, target, via, at });
        }
        for req in requests {
            self.queue.push_back(QueuedRequest { flow, req, finishes_at: None });
        }
        self.process().await;
    }

    /// Starts queued requests while slots are free, completes those whose time is over, and sends
    /// the segments that are due.
    async fn process(&mut self) {
        let now = Instant::now();
        let mut started = Vec::new();
        for run in
            self.queue.iter_mut().take(self.setup.slots).filter(|run| run.finishes_at.is_none())
        {
            run.finishes_at = Some(now + Duration::from_millis(u64::from(run.req.work_ms)));
            started.push(run.req.id);
        }
        for id in started {
            self.emit(TargetEvent::RequestStarted { id, target: self.setup.id.clone() });
        }
        let is_draining = self.behaviour.lock().is_draining;
        let flows = &mut self.flows;
        self.queue.retain(|run| {
            let is_done = run.finishes_at.is_some_and(|at| now >= at);
            if let Some(flow) = flows.get_mut(&run.flow).filter(|_| is_done) {
                flow.end.write(&run.req.answer());
                if is_draining {
                    flow.end.finish();
                }
            }
            !is_done
        });
        let mut due = Vec::new();
        self.flows.retain(|ends, flow| {
            if flow.end.is_peer_finished() {
                flow.end.finish();
            }
            let segments = if flow.is_open { flow.end.poll(now) } else { Vec::new() };
            due.extend(segments.into_iter().map(|segment| (*ends, segment, flow.echo)));
            !flow.end.has_timed_out()
        });
        for (ends, segment, echo) in due {
            self.send(ends, segment, echo).await;
        }
    }

    async fn reset(&self, flow: FlowEnds, packet: &EchoPacket) {
        let segment = OutgoingSegment { flags: RST, seq: packet.ack, ack: 0, data: Vec::new() };
        self.send(flow, segment, packet.echo).await;
    }

    async fn send(&self, (caller, service): FlowEnds, segment: OutgoingSegment, echo: u32) {
        let OutgoingSegment { flags, seq, ack, data } = segment;
        let packet = EchoPacket { from: service, to: caller, flags, echo, seq, ack, data };
        let to = SocketAddrV4::new(*caller.ip(), self.setup.caller_port);
        if let Err(err) = self.socket.send_to(&packet.encode(), to).await {
            log::debug!("packet for {to} not sent: {err}");
        }
    }

    fn emit(&self, event: TargetEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event of target {} discarded: the receiver is closed", self.setup.id);
        }
    }
}
