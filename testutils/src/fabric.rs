//! Stand-in for the network fabric between callers and instances. It sends each packet of a caller
//! to a random instance, so that packets of one flow reach several instances, and receives the
//! packets that instances send to callers.

use std::io;
use std::net::SocketAddr;

use hollyhead::random::{Random, SeededRandom};
use parking_lot::RwLock;
use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 10_000;

/// The fabric in front of a set of instances.
pub struct Fabric {
    socket: UdpSocket,
    instances: RwLock<Vec<SocketAddr>>,
    random: SeededRandom,
}

impl Fabric {
    /// Creates a fabric on loopback without instances. `seed` determines the sequence of random
    /// choices.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be bound.
    pub async fn new(seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let random = SeededRandom::new(seed);
        Ok(Self { socket, instances: RwLock::new(Vec::new()), random })
    }

    /// Returns the address to which instances send packets for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the socket cannot be read.
    pub fn egress(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the addresses of the packet forwarders among which packets are spread.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        *self.instances.write() = instances;
    }

    /// Sends a packet of a caller to a random instance. Drops the packet if there are no instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet cannot be sent.
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

    /// Waits for a packet from an instance to a caller and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot receive.
    pub async fn receive(&self) -> io::Result<Vec<u8>> {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        buf.truncate(len);
        Ok(buf)
    }
}
