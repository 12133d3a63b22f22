//! Loopback addresses of one run, apart from those of other runs.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};

use anyhow::{Context, Result};

const ROLES: u32 = 8;
const NETS: u32 = 250 * 30;
const PORTS: usize = 4;

/// What an address is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An instance.
    Instance,
    /// Proxy of the messages for an instance.
    PeerProxy,
    /// A target.
    Target,
    /// A host of callers.
    Caller,
}

/// Addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    net: u32,
    /// Port of the packet forwarder, and of callers.
    pub flow_port: u16,
    /// Port for messages between instances.
    pub peer_port: u16,
    /// Port of readiness and metrics.
    pub admin_port: u16,
    /// Port of targets.
    pub target_port: u16,
}

impl Addresses {
    /// Chooses addresses and ports that no other run uses.
    ///
    /// # Errors
    ///
    /// Returns why no port is free.
    pub fn choose() -> Result<Self> {
        let net = std::process::id() % NETS;
        let unset = Self { net, flow_port: 0, peer_port: 0, admin_port: 0, target_port: 0 };
        let [flow_port, peer_port, admin_port, target_port] = free_ports(&unset)?;
        Ok(Self { flow_port, peer_port, admin_port, target_port, ..unset })
    }

    /// Returns an IP number.
    pub fn ip(&self, role: Role, index: usize) -> Ipv4Addr {
        let second = 2 + self.net / 30;
        let third = (self.net % 30) * ROLES + role as u32;
        Ipv4Addr::new(127, second as u8, third as u8, index as u8 + 1)
    }

    /// Returns the address of an instance's packet forwarder.
    pub fn flow(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.flow_port)
    }

    /// Returns the address at which an instance takes messages of others.
    pub fn peer(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.peer_port).into()
    }

    /// Returns the address that others use for an instance.
    pub fn peer_proxy(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::PeerProxy, index), self.peer_port).into()
    }

    /// Returns the address of an instance's readiness.
    pub fn admin(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Instance, index), self.admin_port).into()
    }

    /// Returns the address of a target.
    pub fn target(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Target, index), self.target_port)
    }

    /// Returns the address of a host of callers.
    pub fn caller(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Caller, index), self.flow_port)
    }
}

/// Returns different ports that are free for datagrams and connections. All are taken at one
/// address at once, since two addresses may well give the same port.
fn free_ports(addresses: &Addresses) -> Result<[u16; PORTS]> {
    let ip = addresses.ip(Role::Instance, 0);
    let mut taken = Vec::new();
    while taken.len() < PORTS {
        let listener = TcpListener::bind((ip, 0)).context("no free port")?;
        let port = listener.local_addr()?.port();
        let datagrams = UdpSocket::bind((ip, port));
        taken.extend(datagrams.ok().map(|datagrams| (port, listener, datagrams)));
    }
    let ports: Vec<_> = taken.iter().map(|(port, _, _)| *port).collect();
    ports.try_into().map_err(|_| anyhow::anyhow!("ports are missing"))
}
