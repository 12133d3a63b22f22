//! Five-tuple of a flow and its keyed hash.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher13;

use crate::ids::FlowHash;

copy_type! {
    /// Transport protocol of a flow.
    #[serde(rename_all = "snake_case")]
    pub enum Protocol {
        /// Transmission Control Protocol.
        Tcp,
        /// User Datagram Protocol.
        Udp,
    }

    /// The five-tuple of a flow, with the caller as the source.
    pub struct FlowKey {
        /// Protocol that the ports belong to.
        pub protocol: Protocol,
        /// Address and port of the caller.
        pub caller: SocketAddr,
        /// Address and port of the service.
        pub service: SocketAddr,
    }
}

impl FlowKey {
    /// Returns the key with caller and service swapped. Parsing a reply yields the reversed key of
    /// its flow.
    pub fn reversed(&self) -> Self {
        Self { protocol: self.protocol, caller: self.service, service: self.caller }
    }
}

/// Length of the longest hash input: the protocol, and two IPv6 addresses with their ports.
const MAX_HASH_INPUT_BYTES: usize = 1 + 2 * (16 + 2);

/// Hashes flows with SipHash-1-3 under a secret key, so that callers cannot choose the bucket of a
/// flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowHasher {
    key: [u8; 16],
}

impl FlowHasher {
    /// Creates a hasher. All instances of a deployment must use the same key, since they have to
    /// compute the same owner of a flow.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    /// Returns the keyed hash of a flow.
    pub fn hash(&self, flow: &FlowKey) -> FlowHash {
        let mut buf = [0; MAX_HASH_INPUT_BYTES];
        buf[0] = match flow.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        };
        let caller_end = write_address(&mut buf, 1, flow.caller);
        let end = write_address(&mut buf, caller_end, flow.service);
        SipHasher13::new_with_key(&self.key).hash(&buf[..end])
    }

    /// Returns the keyed hash of a string, such as an idempotency key.
    pub fn hash_text(&self, text: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write(text.as_bytes());
        hasher.finish()
    }
}

fn write_address(buf: &mut [u8; MAX_HASH_INPUT_BYTES], offset: usize, addr: SocketAddr) -> usize {
    let port_offset = match addr.ip() {
        IpAddr::V4(ip) => write(buf, offset, &ip.octets()),
        IpAddr::V6(ip) => write(buf, offset, &ip.octets()),
    };
    write(buf, port_offset, &addr.port().to_be_bytes())
}

fn write(buf: &mut [u8; MAX_HASH_INPUT_BYTES], offset: usize, bytes: &[u8]) -> usize {
    let end = offset + bytes.len();
    buf[offset..end].copy_from_slice(bytes);
    end
}
