//! A TCP/IP stack in memory that exchanges IP packets as byte vectors instead of using a network
//! device.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::Instant as StackInstant;
use smoltcp::wire::{HardwareAddress, IpCidr, Ipv4Address, Ipv6Address};
use tokio::time::Instant;

use crate::reordered_acks::ReorderedAcks;

/// Largest IP packet of the stack, in bytes.
pub const MTU: usize = 1_400;
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct QueueDevice {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

struct Incoming(Vec<u8>);

impl RxToken for Incoming {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

struct Outgoing<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for Outgoing<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut buf = vec![0; len];
        let result = f(&mut buf);
        self.0.push_back(buf);
        result
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = Incoming;
    type TxToken<'a> = Outgoing<'a>;

    fn receive(&mut self, _at: StackInstant) -> Option<(Incoming, Outgoing<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((Incoming(packet), Outgoing(&mut self.outgoing)))
    }

    fn transmit(&mut self, _at: StackInstant) -> Option<Outgoing<'_>> {
        Some(Outgoing(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// A TCP/IP stack with one address.
pub struct Stack {
    origin: Instant,
    device: QueueDevice,
    interface: Interface,
    sockets: SocketSet<'static>,
    acks: ReorderedAcks,
}

impl Stack {
    /// Creates a stack with the address `ip` and default routes. `now` is the origin of its time.
    ///
    /// # Panics
    ///
    /// Panics if the stack's tables are too small for one address and one route of each IP version.
    pub fn new(ip: IpAddr, now: Instant) -> Self {
        let mut device = QueueDevice::default();
        let config = Config::new(HardwareAddress::Ip);
        let mut interface = Interface::new(config, &mut device, StackInstant::ZERO);
        let prefix = if ip.is_ipv4() { 32 } else { 128 };
        interface.update_ip_addrs(|addrs| {
            addrs.push(IpCidr::new(ip.into(), prefix)).expect("address table holds one address");
        });
        let routes = interface.routes_mut();
        routes
            .add_default_ipv4_route(Ipv4Address::new(10, 255, 255, 254))
            .expect("route table holds one route for each IP version");
        routes
            .add_default_ipv6_route(Ipv6Address::LOCALHOST)
            .expect("route table holds one route for each IP version");
        Self {
            origin: now,
            device,
            interface,
            sockets: SocketSet::new(Vec::new()),
            acks: ReorderedAcks::default(),
        }
    }

    /// Queues a received packet until the next poll.
    pub fn push(&mut self, mut packet: Vec<u8>) {
        self.acks.refresh(&mut packet);
        self.device.incoming.push_back(packet);
    }

    /// Processes received packets, timers and socket buffers, and queues the packets to send.
    pub fn poll(&mut self, now: Instant) {
        let at = self.stack_instant(now);
        self.interface.poll(at, &mut self.device, &mut self.sockets);
    }

    /// Removes and returns the packets that the stack has queued to send.
    pub fn drain(&mut self) -> Vec<Vec<u8>> {
        self.device.outgoing.drain(..).collect()
    }

    /// Returns the time until the stack has to be polled again, or `None` if it waits only for
    /// packets.
    pub fn poll_delay(&mut self, now: Instant) -> Option<Duration> {
        let at = self.stack_instant(now);
        self.interface.poll_delay(at, &self.sockets).map(Into::into)
    }

    /// Begins to open a TCP connection. The next poll queues its first packet.
    ///
    /// # Panics
    ///
    /// Panics if the remote address or the local port is invalid.
    pub fn connect(&mut self, remote: SocketAddr, local_port: u16) -> SocketHandle {
        let mut socket = socket();
        socket
            .connect(self.interface.context(), remote, local_port)
            .expect("remote address and local port are valid");
        self.sockets.add(socket)
    }

    /// Adds a socket that accepts one TCP connection on `port`.
    ///
    /// # Panics
    ///
    /// Panics if `port` is 0.
    pub fn listen(&mut self, port: u16) -> SocketHandle {
        let mut socket = socket();
        socket.listen(port).expect("port is not 0");
        self.sockets.add(socket)
    }

    /// Returns the TCP socket of a handle.
    ///
    /// # Panics
    ///
    /// Panics if the socket has been removed.
    pub fn tcp(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a socket from the stack without closing its connection.
    ///
    /// # Panics
    ///
    /// Panics if the socket has been removed already.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    fn stack_instant(&self, now: Instant) -> StackInstant {
        let since = now.saturating_duration_since(self.origin);
        StackInstant::from_micros(i64::try_from(since.as_micros()).unwrap_or(i64::MAX))
    }
}

fn socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; SOCKET_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_nagle_enabled(false);
    socket
}
