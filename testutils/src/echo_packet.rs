//! Packets of the users' platform as its callers and targets build and check them.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

use anyhow::{ensure, Context, Result};
use siphasher::sip::SipHasher13;

/// Length of the head, in bytes.
pub const HEAD_BYTES: usize = 32;
/// Largest number of bytes of data in a packet.
pub const MAX_DATA_BYTES: usize = 1_200;

/// Flag of a packet that opens a flow.
pub const SYN: u8 = 1;
/// Flag of a packet that acknowledges.
pub const ACK: u8 = 16;
/// Flag of a packet that aborts a flow.
pub const RST: u8 = 32;
/// Flag of the last packet of a direction.
pub const FIN: u8 = 128;

const SUM: std::ops::Range<usize> = 20..24;
const SUM_KEY: [u8; 16] = *b"stand-in sum key";

/// A packet of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EchoPacket {
    /// End that sent it.
    pub from: SocketAddrV4,
    /// End that it is for.
    pub to: SocketAddrV4,
    /// Flags.
    pub flags: u8,
    /// Number that the other end returns.
    pub echo: u32,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Next sequence number that the sender expects, or the number of a SYN's copy.
    pub ack: u32,
    /// Data.
    pub data: Vec<u8>,
}

impl EchoPacket {
    /// Tells whether all of `flags` are set.
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Returns the packet's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = self.head();
        buf.extend_from_slice(&self.data);
        let sum = sum(&buf);
        buf[SUM].copy_from_slice(&sum.to_le_bytes());
        buf
    }

    fn head(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(HEAD_BYTES + self.data.len());
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

    /// Reads a packet and tells whether an end of a flow wrote it: a reset of the system has no sum.
    ///
    /// # Errors
    ///
    /// Returns an error when it is cut short or was changed on its way.
    pub fn decode(buf: &[u8]) -> Result<(Self, Writer)> {
        let head = buf.first_chunk::<HEAD_BYTES>().context("packet is cut short")?;
        let u16_at = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let end = |ip, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        let packet = Self {
            from: end(16, 10),
            to: end(12, 8),
            flags: head[24],
            echo: u32_at(28),
            seq: u32_at(0),
            ack: u32_at(4),
            data: buf[HEAD_BYTES..].to_vec(),
        };
        ensure!(usize::from(u16_at(26)) == packet.data.len(), "length of the data is wrong");
        let told = u32_at(SUM.start);
        if told == 0 && packet.flags == RST && packet.data.is_empty() {
            return Ok((packet, Writer::System));
        }
        ensure!(told == sum(buf), "packet was changed on its way");
        Ok((packet, Writer::End))
    }
}

/// Who wrote a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writer {
    /// An end of the flow.
    End,
    /// An instance.
    System,
}

/// Returns the sum over all fields but the sum itself, the padding and the echo; never 0.
fn sum(buf: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_key(&SUM_KEY);
    hasher.write(&buf[..SUM.start]);
    hasher.write(&buf[24..25]);
    hasher.write(&buf[26..28]);
    hasher.write(&buf[HEAD_BYTES..]);
    (hasher.finish() as u32).max(1)
}
