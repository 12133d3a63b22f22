//! Stand-in for callers of the users' platform. A caller sends one or several requests on a flow
//! and compares each byte of the answers with the expected ones.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::echo_packet::{EchoPacket, PacketOrigin, ACK, RST, SYN};
use crate::echo_target::FlowEnds;
use crate::flow_endpoint::{FlowEndpoint, OutgoingSegment};
use crate::flow_message::{take_answer, AnswerState, FlowRequest};
use crate::flow_router::FlowRouter;

/// Times after the first opening packet at which it is retransmitted.
const OPENING_RETRANSMISSIONS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after the first opening packet within which the target has to accept the flow.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_DATAGRAM_BYTES: usize = 2_048;
const FIRST_PORT: u16 = 20_000;

type Received = (EchoPacket, PacketOrigin);

/// Reason why a flow failed before all its requests were answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowError {
    /// The target did not accept the flow within the timeout.
    NotOpened,
    /// An instance reset the flow.
    ResetBySystem,
    /// The target reset the flow.
    ResetByTarget,
    /// No complete answer arrived by the deadline of a request.
    Deadline,
    /// The answer differs from the expected one.
    WrongAnswer,
}

/// Result of a flow, as its caller observed it.
#[derive(Clone, Debug)]
pub struct FlowReport {
    /// Addresses of the caller and the service.
    pub flow: FlowEnds,
    /// Time at which the call began, just before the first opening packet.
    pub began: Instant,
    /// Address of the instance that the first packet was sent to; `None` if the router had no
    /// instance.
    pub first_via: Option<Ipv4Addr>,
    /// Number of opening packets, retransmissions included.
    pub openings: u32,
    /// Time at which the target accepted the flow; `None` if it did not.
    pub opened: Option<Instant>,
    /// Ids of the requests that were sent, in this order.
    pub sent: Vec<u64>,
    /// Number of requests that were answered completely and correctly.
    pub answered: usize,
    /// Time at which the flow ended, by success or failure.
    pub ended: Instant,
    /// Reason why the flow failed; `None` on success.
    pub error: Option<FlowError>,
}

/// Requests that a caller sends on a flow, with their timing.
#[derive(Clone, Debug)]
pub struct FlowPlan {
    /// Address of the service.
    pub service: SocketAddrV4,
    /// Requests to send. Each one is sent after the answer to the one before.
    pub requests: Vec<FlowRequest>,
    /// Time between an answer and the next request.
    pub pause: Duration,
    /// Time within which a request has to be answered.
    pub deadline: Duration,
}

/// Host of any number of callers, which share one UDP socket and differ in their port numbers.
pub struct CallerHost {
    address: Ipv4Addr,
    data_centre: SmolStr,
    socket: Arc<UdpSocket>,
    router: Arc<FlowRouter>,
    flows: Arc<Mutex<HashMap<u16, UnboundedSender<Received>>>>,
    next_port: Mutex<u16>,
    _tasks: JoinSet<()>,
}

impl CallerHost {
    /// Starts a host that receives packets at `address` and sends them to instances that `router`
    /// picks.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddrV4,
        data_centre: SmolStr,
        router: Arc<FlowRouter>,
    ) -> Result<Arc<Self>> {
        let socket =
            Arc::new(UdpSocket::bind(address).await.context("binding the UDP socket of a caller")?);
        let flows = Arc::new(Mutex::new(HashMap::new()));
        let mut tasks = JoinSet::new();
        tasks.spawn(receive(Arc::clone(&socket), Arc::clone(&flows)));
        Ok(Arc::new(Self {
            address: *address.ip(),
            data_centre,
            socket,
            router,
            flows,
            next_port: Mutex::new(FIRST_PORT),
            _tasks: tasks,
        }))
    }

    /// Opens a flow, sends its requests and checks the answers. Errors are part of the report.
    pub async fn call(&self, plan: FlowPlan) -> FlowReport {
        let port = self.allocate_port();
        let (tx, rx) = mpsc::unbounded_channel();
        self.flows.lock().insert(port, tx);
        let flow = (SocketAddrV4::new(self.address, port), plan.service);
        let mut call = Call::new(self, flow, rx);
        let result = call.run(&plan).await;
        self.flows.lock().remove(&port);
        call.report.error = result.err();
        call.report.ended = Instant::now();
        call.report
    }

    fn allocate_port(&self) -> u16 {
        let mut next = self.next_port.lock();
        let port = *next;
        *next = port.checked_add(1).unwrap_or(FIRST_PORT);
        port
    }
}

async fn receive(
    socket: Arc<UdpSocket>,
    flows: Arc<Mutex<HashMap<u16, UnboundedSender<Received>>>>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else { continue };
        let Ok((packet, origin)) = EchoPacket::decode(&buf[..len]) else {
            log::warn!("caller discarded a packet of {len} bytes that could not be decoded");
            continue;
        };
        let flow = flows.lock().get(&packet.to.port()).cloned();
        if flow.is_some_and(|tx| tx.send((packet, origin)).is_err()) {
            log::trace!("packet discarded: its flow has ended");
        }
    }
}

struct Call<'a> {
    host: &'a CallerHost,
    rx: UnboundedReceiver<Received>,
    report: FlowReport,
    first_seq: u32,
    echo: u32,
}

impl<'a> Call<'a> {
    fn new(host: &'a CallerHost, flow: FlowEnds, rx: UnboundedReceiver<Received>) -> Self {
        let now = Instant::now();
        let report = FlowReport {
            flow,
            began: now,
            first_via: None,
            openings: 0,
            opened: None,
            sent: Vec::new(),
            answered: 0,
            ended: now,
            error: None,
        };
        Self { host, rx, report, first_seq: u32::from(flow.0.port()) << 8, echo: 0 }
    }

    async fn run(&mut self, plan: &FlowPlan) -> Result<(), FlowError> {
        let answer = self.open().await?;
        self.report.opened = Some(Instant::now());
        self.echo = answer.echo;
        let mut endpoint =
            FlowEndpoint::new(self.first_seq.wrapping_add(1), answer.seq.wrapping_add(1));
        endpoint.schedule_ack();
        let mut stream = Vec::new();
        for (index, req) in plan.requests.iter().enumerate() {
            if index > 0 {
                self.poll_for(&mut endpoint, plan.pause).await?;
                if endpoint.is_peer_finished() {
                    break;
                }
            }
            self.report.sent.push(req.id);
            endpoint.write(&req.encode());
            self.await_answer(&mut endpoint, &mut stream, req, plan.deadline).await?;
            self.report.answered += 1;
        }
        endpoint.finish();
        self.poll_for(&mut endpoint, POLL_INTERVAL).await
    }

    /// Sends the opening packet, retransmits it on schedule, and returns the packet by which the
    /// target accepts the flow.
    async fn open(&mut self) -> Result<EchoPacket, FlowError> {
        let began = self.report.began;
        let mut retransmissions = OPENING_RETRANSMISSIONS.iter();
        self.send_opening().await;
        loop {
            let next =
                retransmissions.as_slice().first().map_or(began + OPEN_TIMEOUT, |at| began + *at);
            match tokio::time::timeout_at(next, self.rx.recv()).await {
                Ok(Some((packet, PacketOrigin::Instance))) if packet.has(RST) => {
                    return Err(FlowError::ResetBySystem);
                }
                Ok(Some((packet, _))) if packet.has(SYN | ACK) => return Ok(packet),
                Ok(Some((packet, _))) if packet.has(RST) => return Err(FlowError::ResetByTarget),
                Ok(_) => {}
                Err(_) if retransmissions.next().is_some() => self.send_opening().await,
                Err(_) => return Err(FlowError::NotOpened),
            }
        }
    }

    async fn send_opening(&mut self) {
        let ack = self.report.openings;
        self.report.openings += 1;
        let segment = OutgoingSegment { flags: SYN, seq: self.first_seq, ack, data: Vec::new() };
        self.send(segment).await;
    }

    async fn await_answer(
        &mut self,
        endpoint: &mut FlowEndpoint,
        stream: &mut Vec<u8>,
        req: &FlowRequest,
        deadline: Duration,
    ) -> Result<(), FlowError> {
        let until = Instant::now() + deadline;
        loop {
            stream.extend(endpoint.take_received());
            match take_answer(stream, req) {
                AnswerState::Complete => return Ok(()),
                AnswerState::Mismatch => return Err(FlowError::WrongAnswer),
                AnswerState::Partial if Instant::now() >= until => return Err(FlowError::Deadline),
                AnswerState::Partial => self.poll(endpoint).await?,
            }
        }
    }

    async fn poll_for(
        &mut self,
        endpoint: &mut FlowEndpoint,
        time: Duration,
    ) -> Result<(), FlowError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.poll(endpoint).await?;
        }
        Ok(())
    }

    /// Sends the segments that are due, and processes at most one packet, for which it waits up to
    /// [`POLL_INTERVAL`].
    async fn poll(&mut self, endpoint: &mut FlowEndpoint) -> Result<(), FlowError> {
        for segment in endpoint.poll(Instant::now()) {
            self.send(segment).await;
        }
        let Ok(Some((packet, origin))) = tokio::time::timeout(POLL_INTERVAL, self.rx.recv()).await
        else {
            return Ok(());
        };
        if packet.has(RST) {
            let is_instance = origin == PacketOrigin::Instance;
            return Err(if is_instance {
                FlowError::ResetBySystem
            } else {
                FlowError::ResetByTarget
            });
        }
        if !packet.has(SYN) {
            self.echo = packet.echo;
            endpoint.on_packet(&packet, Instant::now());
        }
        Ok(())
    }

    async fn send(&mut self, segment: OutgoingSegment) {
        let (caller, service) = self.report.flow;
        let OutgoingSegment { flags, seq, ack, data } = segment;
        let packet =
            EchoPacket { from: caller, to: service, flags, echo: self.echo, seq, ack, data };
        let Some(instance) = self.host.router.pick(&self.host.data_centre, &self.report.flow)
        else {
            return;
        };
        self.report.first_via.get_or_insert(*instance.flow.ip());
        if let Err(err) = self.host.socket.send_to(&packet.encode(), instance.flow).await {
            log::debug!("packet for {} not sent: {err}", instance.name);
        }
    }
}
