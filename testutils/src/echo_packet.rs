//! Packet format of the users' platform, with the checksum that callers and targets verify. Tests
//! use the checksum to detect packets that hollyhead corrupts.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use anyhow::{ensure, Context, Result};
use siphasher::sip::SipHasher13;

/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 32;
/// Largest payload of a packet, in bytes.
pub const MAX_DATA_BYTES: usize = 1_200;

/// Flag of a packet that opens a flow, and of the packet that accepts it.
pub const SYN: u8 = 1;
/// Flag of a packet whose acknowledgement number is valid.
pub const ACK: u8 = 16;
/// Flag of a packet that aborts a flow.
pub const RST: u8 = 32;
/// Flag of the last packet in a direction of a flow.
pub const FIN: u8 = 128;

/// Position of the checksum in the header, in bytes.
const CHECKSUM: std::ops::Range<usize> = 20..24;
const CHECKSUM_KEY: [u8; 16] = *b"stand-in sum key";

/// A packet of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EchoPacket {
    /// Address of the sender.
    pub from: SocketAddrV4,
    /// Address of the receiver.
    pub to: SocketAddrV4,
    /// Any of [`SYN`], [`ACK`], [`RST`] and [`FIN`].
    pub flags: u8,
    /// Number that the other endpoint returns in its packets. An instance may store a cookie
    /// in it, so the checksum does not cover it.
    pub echo: u32,
    /// Sequence number of the first byte of the payload.
    pub seq: u32,
    /// Next sequence number that the sender expects. In a SYN of the caller, the number of
    /// retransmissions before it.
    pub ack: u32,
    /// Payload, at most [`MAX_DATA_BYTES`] long.
    pub data: Vec<u8>,
}

impl EchoPacket {
    /// Returns whether all of `flags` are set.
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Encodes the packet, with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = self.header();
        buf.extend_from_slice(&self.data);
        let checksum = checksum(&buf);
        buf[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
        buf
    }

    fn header(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(HEADER_BYTES + self.data.len());
        buf.extend_from_slice(&self.seq.to_le_bytes());
        buf.extend_from_slice(&self.ack.to_le_bytes());
        buf.extend_from_slice(&self.to.port().to_le_bytes());
        buf.extend_from_slice(&self.from.port().to_le_bytes());
        buf.extend_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
        buf.extend_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
        buf.extend_from_slice(&[0; 4]);
        buf.extend_from_slice(&[self.flags, 0]);
        buf.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        buf.extend_from_slice(&self.echo.to_le_bytes());
        buf
    }

    /// Decodes a packet and returns it with its origin. A reset without a checksum comes from an
    /// instance: endpoints always write a checksum.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet is truncated, its length field is wrong, or its checksum does
    /// not match.
    pub fn decode(buf: &[u8]) -> Result<(Self, PacketOrigin)> {
        let header =
            buf.first_chunk::<HEADER_BYTES>().context("packet is shorter than its header")?;
        let u16_at = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        let end = |ip, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        let packet = Self {
            from: end(16, 10),
            to: end(12, 8),
            flags: header[24],
            echo: u32_at(28),
            seq: u32_at(0),
            ack: u32_at(4),
            data: buf[HEADER_BYTES..].to_vec(),
        };
        ensure!(
            usize::from(u16_at(26)) == packet.data.len(),
            "payload length differs from the length field"
        );
        let expected_checksum = u32_at(CHECKSUM.start);
        if expected_checksum == 0 && packet.flags == RST && packet.data.is_empty() {
            return Ok((packet, PacketOrigin::Instance));
        }
        ensure!(expected_checksum == checksum(buf), "packet checksum mismatch");
        Ok((packet, PacketOrigin::Endpoint))
    }
}

/// Kind of the program that created a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketOrigin {
    /// An endpoint of the flow: a caller or a target.
    Endpoint,
    /// An instance of hollyhead.
    Instance,
}

/// Returns the checksum of a packet. It covers the payload and all header fields except the
/// checksum itself, the padding and the echo. It is never 0, which marks a packet without a
/// checksum.
fn checksum(buf: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_key(&CHECKSUM_KEY);
    hasher.write(&buf[..CHECKSUM.start]);
    hasher.write(&buf[24..25]);
    hasher.write(&buf[26..28]);
    hasher.write(&buf[HEADER_BYTES..]);
    (hasher.finish() as u32).max(1)
}
