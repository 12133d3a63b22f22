//! The fabric: hands each packet of a caller to any instance, and takes packets for callers.

use std::io;
use std::net::SocketAddr;

use hollyhead::random::{Random, SeededRandom};
use parking_lot::RwLock;
use tokio::net::UdpSocket;

const DATAGRAM_BYTES: usize = 10_000;

/// The fabric in front of a set of instances.
pub struct Fabric {
    socket: UdpSocket,
    instances: RwLock<Vec<SocketAddr>>,
    random: SeededRandom,
}

impl Fabric {
    /// Creates a fabric on loopback that sprays packets with the given seed.
    ///
    /// # Errors
    ///
    /// Returns why no socket could be had.
    pub async fn new(seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let random = SeededRandom::new(seed);
        Ok(Self { socket, instances: RwLock::new(Vec::new()), random })
    }

    /// Returns the address that takes packets for callers.
    ///
    /// # Errors
    ///
    /// Returns why the socket has no address.
    pub fn egress(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Replaces the packet forwarders that packets are sprayed over.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        *self.instances.write() = instances;
    }

    /// Hands a packet of a caller to any instance.
    ///
    /// # Errors
    ///
    /// Returns why the packet could not be sent.
    pub async fn spray(&self, packet: &[u8]) -> io::Result<()> {
        let instance = {
            let instances = self.instances.read();
            let index = self.random.below(instances.len() as u64) as usize;
            instances.get(index).copied()
        };
        if let Some(instance) = instance {
            self.socket.send_to(packet, instance).await?;
        }
        Ok(())
    }

    /// Returns the next packet for a caller.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be received.
    pub async fn receive(&self) -> io::Result<Vec<u8>> {
        let mut buf = vec![0; DATAGRAM_BYTES];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        buf.truncate(len);
        Ok(buf)
    }
}
