//! Callers of the users' platform: flows with one or several requests, checked byte by byte.

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

use crate::echo_packet::{Author, EchoPacket, ACK, RST, SYN};
use crate::echo_target::FlowEnds;
use crate::flow_endpoint::{FlowEndpoint, OutgoingSegment};
use crate::flow_message::{take_answer, AnswerState, FlowRequest};
use crate::flow_router::FlowRouter;

/// Times after the first opening packet at which its copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which a flow that has not opened is given up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const POLL: Duration = Duration::from_millis(10);
const DATAGRAM_BYTES: usize = 2_048;
const FIRST_PORT: u16 = 20_000;

type Received = (EchoPacket, Author);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowError {
    /// The flow never opened.
    NotOpened,
    /// An instance reset the flow.
    ResetBySystem,
    /// The target reset the flow.
    ResetByTarget,
    /// The deadline passed.
    Deadline,
    /// The answer was another one.
    WrongAnswer,
}

/// How a flow went.
#[derive(Clone, Debug)]
pub struct FlowReport {
    /// Ends.
    pub flow: FlowEnds,
    /// When the first opening packet was sent.
    pub began: Instant,
    /// Instance that the first opening packet was sent to.
    pub first_via: Option<Ipv4Addr>,
    /// Opening packets that were sent.
    pub openings: u32,
    /// When the flow opened.
    pub opened: Option<Instant>,
    /// Ids of the requests that were sent.
    pub sent: Vec<u64>,
    /// Requests that were answered.
    pub answered: usize,
    /// When the flow ended.
    pub ended: Instant,
    /// Why it ended early.
    pub error: Option<FlowError>,
}

/// What a caller does on a flow.
#[derive(Clone, Debug)]
pub struct FlowPlan {
    /// Address of the service.
    pub service: SocketAddrV4,
    /// Requests, one after the other.
    pub requests: Vec<FlowRequest>,
    /// Pause between two requests.
    pub pause: Duration,
    /// Time that a request may take.
    pub deadline: Duration,
}

/// A host whose callers open flows.
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
    /// Starts a host that receives packets at `address`.
    ///
    /// # Errors
    ///
    /// Returns why the address cannot be used.
    pub async fn start(
        address: SocketAddrV4,
        data_centre: SmolStr,
        router: Arc<FlowRouter>,
    ) -> Result<Arc<Self>> {
        let socket = Arc::new(UdpSocket::bind(address).await.context("caller's datagrams")?);
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

    /// Opens a flow, sends its requests and checks the answers.
    pub async fn call(&self, plan: FlowPlan) -> FlowReport {
        let port = self.take_port();
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

    fn take_port(&self) -> u16 {
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
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else { continue };
        let Ok((packet, writer)) = EchoPacket::decode(&buf[..len]) else {
            log::warn!("a caller got a packet that nobody wrote so");
            continue;
        };
        let flow = flows.lock().get(&packet.to.port()).cloned();
        if flow.is_some_and(|tx| tx.send((packet, writer)).is_err()) {
            log::trace!("flow has ended");
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
        let mut end = FlowEndpoint::new(self.first_seq.wrapping_add(1), answer.seq.wrapping_add(1));
        end.schedule_ack();
        let mut stream = Vec::new();
        for (index, req) in plan.requests.iter().enumerate() {
            if index > 0 {
                self.pump_for(&mut end, plan.pause).await?;
                if end.is_peer_finished() {
                    break;
                }
            }
            self.report.sent.push(req.id);
            end.write(&req.encode());
            self.await_answer(&mut end, &mut stream, req, plan.deadline).await?;
            self.report.answered += 1;
        }
        end.finish();
        self.pump_for(&mut end, POLL).await
    }

    /// Sends the opening packet and its copies, and returns the target's answer.
    async fn open(&mut self) -> Result<EchoPacket, FlowError> {
        let began = self.report.began;
        let mut copies = COPIES.iter();
        self.send_opening().await;
        loop {
            let next = copies.as_slice().first().map_or(began + OPEN_TIMEOUT, |at| began + *at);
            match tokio::time::timeout_at(next, self.rx.recv()).await {
                Ok(Some((packet, Author::Instance))) if packet.has(RST) => {
                    return Err(FlowError::ResetBySystem);
                }
                Ok(Some((packet, _))) if packet.has(SYN | ACK) => return Ok(packet),
                Ok(Some((packet, _))) if packet.has(RST) => return Err(FlowError::ResetByTarget),
                Ok(_) => {}
                Err(_) if copies.next().is_some() => self.send_opening().await,
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
        end: &mut FlowEndpoint,
        stream: &mut Vec<u8>,
        req: &FlowRequest,
        deadline: Duration,
    ) -> Result<(), FlowError> {
        let until = Instant::now() + deadline;
        loop {
            stream.extend(end.take_received());
            match take_answer(stream, req) {
                AnswerState::Complete => return Ok(()),
                AnswerState::Mismatch => return Err(FlowError::WrongAnswer),
                AnswerState::Partial if Instant::now() >= until => return Err(FlowError::Deadline),
                AnswerState::Partial => self.pump(end).await?,
            }
        }
    }

    async fn pump_for(&mut self, end: &mut FlowEndpoint, time: Duration) -> Result<(), FlowError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.pump(end).await?;
        }
        Ok(())
    }

    /// Sends what is due and takes packets for a moment.
    async fn pump(&mut self, end: &mut FlowEndpoint) -> Result<(), FlowError> {
        for segment in end.poll(Instant::now()) {
            self.send(segment).await;
        }
        let Ok(Some((packet, writer))) = tokio::time::timeout(POLL, self.rx.recv()).await else {
            return Ok(());
        };
        if packet.has(RST) {
            let is_system = writer == Author::Instance;
            return Err(if is_system {
                FlowError::ResetBySystem
            } else {
                FlowError::ResetByTarget
            });
        }
        if !packet.has(SYN) {
            self.echo = packet.echo;
            end.on_packet(&packet, Instant::now());
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
