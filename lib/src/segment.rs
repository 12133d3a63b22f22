//! Segment of a flow whose packets carry the target's cookie, and the wire form behind a trait.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{Cookie, TargetToken};

copy_type! {
    /// The two ends of a flow, seen from the caller.
    pub struct FlowEnds {
        /// Address and port of the caller.
        pub caller: SocketAddrV4,
        /// Address and port of the service.
        pub service: SocketAddrV4,
    }

    /// What a segment does to its flow.
    #[derive(Default)]
    pub struct Control {
        /// Opens the flow.
        pub opens: bool,
        /// Acknowledges bytes or the opening.
        pub acknowledges: bool,
        /// Ends the sender's half of the flow.
        pub ends: bool,
        /// Aborts the flow.
        pub aborts: bool,
    }

    /// Head of a segment that a caller sent.
    pub struct Segment {
        /// Ends of the flow.
        pub ends: FlowEnds,
        /// What the segment does.
        pub control: Control,
        /// Number of the first byte.
        pub seq: u32,
        /// Number up to which the caller has received; in an opening segment, the number of
        /// earlier copies of it.
        pub ack: u32,
        /// Bytes of data.
        pub data_len: u16,
        /// Names the target; 0 before the target has answered.
        pub cookie: Cookie,
    }
}

/// Reason why a datagram is no segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// The datagram is shorter than a head.
    #[error("datagram of {len} bytes is shorter than a head")]
    Short {
        /// Length of the datagram, in bytes.
        len: usize,
    },
    /// The head tells another length than the datagram has.
    #[error("head tells {declared} bytes of data, the datagram has {found}")]
    Length {
        /// Bytes of data that the head tells.
        declared: usize,
        /// Bytes of data that follow the head.
        found: usize,
    },
    /// The head has flags that a caller does not send.
    #[error("flags {flags:#04x} are not those of a caller")]
    Flags {
        /// Flags of the head.
        flags: u8,
    },
}

/// Wire form of segments: how they are read, handed to targets and refused.
pub trait SegmentFormat: Send + Sync {
    /// Reads the head of a datagram from the fabric.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is no segment of a caller.
    fn decode(&self, datagram: &[u8]) -> Result<Segment, SegmentError>;

    /// Writes the datagram that hands a packet to a target into `out`.
    fn encode_for_target(
        &self,
        packet: &[u8],
        target: TargetToken,
        cookie: Cookie,
        out: &mut Vec<u8>,
    );

    /// Writes a reset of the flow of `segment`, to its caller, into `out`.
    fn encode_reset(&self, segment: &Segment, out: &mut Vec<u8>);

    /// Returns the address that takes packets for a caller, for an instance that listens on
    /// `flow_port`.
    fn caller_address(&self, caller: Ipv4Addr, flow_port: u16) -> SocketAddrV4;
}

/// A wire form that registered itself.
pub struct SegmentFormatPlugin {
    /// Name by which settings choose it.
    pub name: &'static str,
    /// Creates the form.
    pub create: fn() -> Arc<dyn SegmentFormat>,
}

inventory::collect!(SegmentFormatPlugin);
