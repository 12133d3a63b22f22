//! Trait for sending datagrams, and its implementation by a UDP socket.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

/// Sends datagrams without blocking. A datagram that cannot be sent at once is dropped, like one that
/// the network loses.
pub trait Network: Send + Sync {
    /// Sends one datagram to an address, or drops it.
    fn send(&self, to: SocketAddr, buf: &[u8]);
}

/// Sends datagrams through a UDP socket.
pub struct UdpNetwork {
    socket: Arc<UdpSocket>,
}

impl UdpNetwork {
    /// Creates a network that sends from the address of `socket`.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket }
    }
}

impl Network for UdpNetwork {
    fn send(&self, to: SocketAddr, buf: &[u8]) {
        if let Err(err) = self.socket.try_send_to(buf, to) {
            log::debug!("datagram to {to} dropped: {err}");
        }
    }
}
