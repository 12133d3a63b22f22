//! Proxies on the loopback interface that inject faults into TCP connections and datagrams.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;

const BUFFER_BYTES: usize = 64 * 1024;
/// Interval at which a stalled connection checks whether it is to be reset.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that a proxy injects into its TCP connections, open and new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Bytes are forwarded without a fault.
    #[default]
    None,
    /// Each read of bytes is delayed by this time before they are forwarded.
    Delayed(Duration),
    /// New connections are reset. Open ones are closed when their next byte arrives.
    Reset,
    /// No bytes are forwarded in either direction, and connections stay open.
    Blackhole,
    /// Bytes are forwarded to the server, and none from the server.
    OneWay,
}

/// TCP proxy in front of one server. Dropping it closes its connections.
pub struct ConnectionProxy {
    address: SocketAddr,
    fault: Arc<Mutex<ConnectionFault>>,
    _tasks: JoinSet<()>,
}

impl ConnectionProxy {
    /// Starts a proxy in front of `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address on loopback can be bound.
    pub async fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(ConnectionFault::None));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, server, Arc::clone(&fault)));
        Ok(Self { address, fault, _tasks: tasks })
    }

    /// Returns the address that clients use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that is injected. A connection that discarded bytes under
    /// [`ConnectionFault::Blackhole`] or [`ConnectionFault::OneWay`] does not recover.
    pub fn set_fault(&self, fault: ConnectionFault) {
        *self.fault.lock() = fault;
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, fault: Arc<Mutex<ConnectionFault>>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        let fault = Arc::clone(&fault);
        connections.spawn(async move {
            if let Err(err) = proxy_connection(client, server, fault).await {
                log::debug!("proxied connection to {server} failed: {err}");
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn proxy_connection(
    client: TcpStream,
    server: SocketAddr,
    fault: Arc<Mutex<ConnectionFault>>,
) -> std::io::Result<()> {
    if *fault.lock() == ConnectionFault::Reset {
        return reset(client);
    }
    let upstream = TcpStream::connect(server).await?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    let to_upstream = copy(from_client, to_server, Arc::clone(&fault), false);
    let to_downstream = copy(from_server, to_client, fault, true);
    tokio::select! {
        result = to_upstream => result,
        result = to_downstream => result,
    }
}

fn reset(stream: TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()?;
    drop(stream);
    Ok(())
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: Arc<Mutex<ConnectionFault>>,
    is_answer: bool,
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let now = *fault.lock();
        match now {
            ConnectionFault::None => {}
            ConnectionFault::Delayed(time) => tokio::time::sleep(time).await,
            ConnectionFault::Reset => return Ok(()),
            ConnectionFault::OneWay if !is_answer => {}
            ConnectionFault::OneWay | ConnectionFault::Blackhole => {
                // The bytes are lost, so the connection must not continue after the fault ends:
                // like a connection whose path failed, it stays stalled until it is reset.
                wait_for_reset(&fault).await;
                return Ok(());
            }
        }
        to.write_all(&buf[..len]).await?;
    }
}

async fn wait_for_reset(fault: &Mutex<ConnectionFault>) {
    while *fault.lock() != ConnectionFault::Reset {
        tokio::time::sleep(FAULT_POLL_INTERVAL).await;
    }
}

/// Faults that are injected into datagrams between instances, shared by the proxies of all
/// instances.
#[derive(Debug, Default)]
pub struct DatagramFaults {
    blocked: HashSet<(IpAddr, IpAddr)>,
    delay: Duration,
}

impl DatagramFaults {
    /// Drops all datagrams from one address to another.
    pub fn block(&mut self, from: IpAddr, to: IpAddr) {
        self.blocked.insert((from, to));
    }

    /// Forwards datagrams from one address to another again, after [`DatagramFaults::block`].
    pub fn unblock(&mut self, from: IpAddr, to: IpAddr) {
        self.blocked.remove(&(from, to));
    }

    /// Sets the time by which all datagrams are delayed.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }
}

/// UDP proxy in front of the address at which one instance receives messages of other instances.
pub struct DatagramProxy {
    _tasks: JoinSet<()>,
}

impl DatagramProxy {
    /// Starts a proxy at `address` in front of `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        server: SocketAddr,
        faults: Arc<Mutex<DatagramFaults>>,
    ) -> Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_datagrams(socket, server, faults));
        Ok(Self { _tasks: tasks })
    }
}

async fn forward_datagrams(
    socket: Arc<UdpSocket>,
    server: SocketAddr,
    faults: Arc<Mutex<DatagramFaults>>,
) {
    // A socket for each client, so that an answer of the server can be attributed to its client.
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else { continue };
        let sender = match senders.get(&from) {
            Some(sender) => Arc::clone(sender),
            None => {
                let Ok(sender) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else { continue };
                let sender = Arc::new(sender);
                senders.insert(from, Arc::clone(&sender));
                let (socket, faults) = (Arc::clone(&socket), Arc::clone(&faults));
                answers.spawn(forward_answers(Arc::clone(&sender), socket, (server, from), faults));
                sender
            }
        };
        forward(sender, &buf[..len], (from.ip(), server), &faults);
    }
}

async fn forward_answers(
    sender: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    (server, client): (SocketAddr, SocketAddr),
    faults: Arc<Mutex<DatagramFaults>>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok((len, _)) = sender.recv_from(&mut buf).await else { continue };
        forward(Arc::clone(&socket), &buf[..len], (server.ip(), client), &faults);
    }
}

fn forward(
    socket: Arc<UdpSocket>,
    buf: &[u8],
    (from, to): (IpAddr, SocketAddr),
    faults: &Mutex<DatagramFaults>,
) {
    let delay = {
        let faults = faults.lock();
        if faults.blocked.contains(&(from, to.ip())) {
            return;
        }
        faults.delay
    };
    let buf = buf.to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        if let Err(err) = socket.send_to(&buf, to).await {
            log::debug!("datagram to {to} not forwarded: {err}");
        }
    });
}
