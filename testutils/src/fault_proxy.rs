//! Proxies on the loopback interface that harm what passes through them.

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
const LOOK: Duration = Duration::from_millis(20);

/// What happens to the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes take this much longer.
    Delayed(Duration),
    /// Connections are reset, open ones too.
    Reset,
    /// No byte passes, in either direction, and nothing is closed.
    Blackhole,
    /// Bytes pass to the server, and none come back.
    OneWay,
}

/// Proxy of connections.
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
    /// Returns why it cannot listen.
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

    /// Changes what happens to connections.
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
            if let Err(err) = pass(client, server, fault).await {
                log::debug!("proxied connection ended: {err}");
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn pass(
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
    let forth = copy(from_client, to_server, Arc::clone(&fault), false);
    let back = copy(from_server, to_client, fault, true);
    tokio::select! {
        result = forth => result,
        result = back => result,
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
                // The connection stays silent for good, as one that lost its path.
                wait_for_reset(&fault).await;
                return Ok(());
            }
        }
        to.write_all(&buf[..len]).await?;
    }
}

async fn wait_for_reset(fault: &Mutex<ConnectionFault>) {
    while *fault.lock() != ConnectionFault::Reset {
        tokio::time::sleep(LOOK).await;
    }
}

/// What happens to datagrams between instances; shared by the proxies of all of them.
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

    /// Lets the datagrams from one address to another pass again.
    pub fn unblock(&mut self, from: IpAddr, to: IpAddr) {
        self.blocked.remove(&(from, to));
    }

    /// Makes all datagrams take this much longer.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }
}

/// Proxy of datagrams in front of one instance's address for messages of the others.
pub struct DatagramProxy {
    _tasks: JoinSet<()>,
}

impl DatagramProxy {
    /// Starts a proxy at `address` in front of `server`.
    ///
    /// # Errors
    ///
    /// Returns why it cannot listen.
    pub async fn start(
        address: SocketAddr,
        server: SocketAddr,
        faults: Arc<Mutex<DatagramFaults>>,
    ) -> Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let mut tasks = JoinSet::new();
        tasks.spawn(pass_datagrams(socket, server, faults));
        Ok(Self { _tasks: tasks })
    }
}

async fn pass_datagrams(
    socket: Arc<UdpSocket>,
    server: SocketAddr,
    faults: Arc<Mutex<DatagramFaults>>,
) {
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
                answers.spawn(pass_answers(Arc::clone(&sender), socket, (server, from), faults));
                sender
            }
        };
        forward(sender, &buf[..len], (from.ip(), server), &faults);
    }
}

async fn pass_answers(
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
            log::debug!("datagram for {to} not passed on: {err}");
        }
    });
}
