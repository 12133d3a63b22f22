//! Loopback addresses of one run, distinct from those of concurrent runs.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};

use anyhow::{Context, Result};

/// Number of /24 networks reserved for each run, one for each [`Role`] and some spare.
const ROLES: u32 = 8;
/// Number of distinct runs that fit into 127.2.0.0 to 127.251.239.255.
const SUBNETS: u32 = 250 * 30;
const PORT_COUNT: usize = 4;

/// Role of the process that uses an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Instance under test.
    Instance,
    /// Proxy that relays and disturbs the messages sent to an instance.
    PeerProxy,
    /// Simulated target.
    Target,
    /// Simulated host on which callers run.
    Caller,
}

/// Addresses and ports of one run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    subnet: u32,
    /// UDP port of the packet forwarder and of callers.
    pub flow_port: u16,
    /// UDP port for messages between instances.
    pub peer_port: u16,
    /// TCP port of the readiness and metrics endpoints.
    pub admin_port: u16,
    /// Port of targets: UDP for flows, TCP for health checks.
    pub target_port: u16,
}

impl Addresses {
    /// Chooses ports that are free, and addresses by the process ID, so that concurrent runs use
    /// different ones.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be reserved.
    pub fn choose() -> Result<Self> {
        let subnet = std::process::id() % SUBNETS;
        let unset = Self { subnet, flow_port: 0, peer_port: 0, admin_port: 0, target_port: 0 };
        let [flow_port, peer_port, admin_port, target_port] = free_ports(&unset)?;
        Ok(Self { flow_port, peer_port, admin_port, target_port, ..unset })
    }

    /// Returns the IP address of the process with the given role and index.
    pub fn ip(&self, role: Role, index: usize) -> Ipv4Addr {
        let second = 2 + self.subnet / 30;
        let third = (self.subnet % 30) * ROLES + role as u32;
        Ipv4Addr::new(127, second as u8, third as u8, index as u8 + 1)
    }

    /// Returns the address of an instance's packet forwarder.
    pub fn flow(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.flow_port)
    }

    /// Returns the address at which an instance receives messages, behind its proxy.
    pub fn peer(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.peer_port).into()
    }

    /// Returns the address to which other instances send messages for an instance: that of its
    /// proxy.
    pub fn peer_proxy(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::PeerProxy, index), self.peer_port).into()
    }

    /// Returns the address of an instance's readiness and metrics endpoints.
    pub fn admin(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.admin_port).into()
    }

    /// Returns the address at which a target receives flows and health checks.
    pub fn target(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Target, index), self.target_port)
    }

    /// Returns the address at which a host of callers receives packets.
    pub fn caller(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Caller, index), self.flow_port)
    }
}

/// Returns distinct ports that are free for both UDP and TCP.
///
/// All ports are reserved at one address at the same time, because the system may assign the same
/// port at two different addresses.
fn free_ports(addresses: &Addresses) -> Result<[u16; PORT_COUNT]> {
    let ip = addresses.ip(Role::Instance, 0);
    let mut reserved = Vec::new();
    while reserved.len() < PORT_COUNT {
        let listener = TcpListener::bind((ip, 0)).context("no free port")?;
        let port = listener.local_addr()?.port();
        let datagrams = UdpSocket::bind((ip, port));
        reserved.extend(datagrams.ok().map(|datagrams| (port, listener, datagrams)));
    }
    let ports: Vec<_> = reserved.iter().map(|(port, _, _)| *port).collect();
    ports.try_into().map_err(|_| anyhow::anyhow!("wrong number of free ports"))
}
