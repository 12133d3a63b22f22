//! Segments of flows whose packets carry the target's cookie, and the trait for their wire format.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{Cookie, TargetToken};

copy_type! {
    /// The two endpoints of a flow, as its caller addresses them.
    pub struct FlowEnds {
        /// Address and port of the caller.
        pub caller: SocketAddrV4,
        /// Address and port at which the caller reaches the service.
        pub service: SocketAddrV4,
    }

    /// Control flags of a segment, as in TCP.
    #[derive(Default)]
    pub struct Control {
        /// The segment opens the flow (SYN).
        pub opens: bool,
        /// The segment acknowledges received bytes or the opening of the flow (ACK).
        pub acknowledges: bool,
        /// The segment closes the sender's half of the flow (FIN).
        pub ends: bool,
        /// The segment aborts the flow (RST).
        pub aborts: bool,
    }

    /// Decoded header of a segment that a caller sent.
    pub struct Segment {
        /// Endpoints of the segment's flow.
        pub ends: FlowEnds,
        /// Control flags of the segment.
        pub control: Control,
        /// Sequence number of the first byte of data.
        pub seq: u32,
        /// Sequence number of the next byte that the caller expects. In an opening segment, this is
        /// the number of earlier transmissions of that segment.
        pub ack: u32,
        /// Length of the data, in bytes.
        pub data_len: u16,
        /// Cookie of the flow's target; 0 until the target has answered the caller.
        pub cookie: Cookie,
    }
}

/// Reason why a datagram is not a valid segment from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// The datagram is shorter than a segment header.
    #[error("datagram of {len} bytes is shorter than a segment header")]
    Short {
        /// Length of the datagram, in bytes.
        len: usize,
    },
    /// The header declares a data length that differs from the length of the data.
    #[error("segment header declares {declared} bytes of data, but the datagram has {found}")]
    Length {
        /// Data length that the header declares, in bytes.
        declared: usize,
        /// Length of the data after the header, in bytes.
        found: usize,
    },
    /// The header has flags that a caller never sends.
    #[error("flags {flags:#04x} are not valid in a segment from a caller")]
    Flags {
        /// Flags byte of the header.
        flags: u8,
    },
}

/// Wire format of segments: decodes datagrams from callers, and encodes datagrams for targets and
/// resets for callers.
pub trait SegmentFormat: Send + Sync {
    /// Decodes the header of a datagram from the network fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid segment from a caller.
    fn decode(&self, datagram: &[u8]) -> Result<Segment, SegmentError>;

    /// Encodes a datagram for the target with token `target` and appends it to `out`. The datagram
    /// carries `packet`, with `cookie` written into the packet.
    fn encode_for_target(
        &self,
        packet: &[u8],
        target: TargetToken,
        cookie: Cookie,
        out: &mut Vec<u8>,
    );

    /// Encodes a datagram that resets the flow of `segment` at its caller, and appends it to `out`.
    fn encode_reset(&self, segment: &Segment, out: &mut Vec<u8>);

    /// Returns the address to which an instance that listens on `flow_port` sends packets for a
    /// caller.
    fn caller_address(&self, caller: Ipv4Addr, flow_port: u16) -> SocketAddrV4;
}

/// A wire format in the registry of plug-ins.
pub struct SegmentFormatPlugin {
    /// Value of the setting `form` that selects the wire format.
    pub name: &'static str,
    /// Creates the wire format.
    pub create: fn() -> Arc<dyn SegmentFormat>,
}

inventory::collect!(SegmentFormatPlugin);
