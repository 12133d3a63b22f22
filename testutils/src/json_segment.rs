//! Wire format of segments for tests without sockets: each datagram is a [`Segment`] as JSON.

use std::net::{Ipv4Addr, SocketAddrV4};

use hollyhead::ids::{Cookie, TargetToken};
use hollyhead::segment::{Control, FlowEnds, Segment, SegmentError, SegmentFormat};

/// Format whose datagrams are JSON, from callers, to targets and back alike. A datagram to a target
/// has the target's cookie; a reset has the flag [`Control::aborts`].
#[derive(Clone, Copy, Debug)]
pub struct JsonFormat;

impl SegmentFormat for JsonFormat {
    fn decode(&self, datagram: &[u8]) -> Result<Segment, SegmentError> {
        // The errors of the trait describe binary headers; a test never sends anything else than JSON.
        serde_json::from_slice(datagram).map_err(|_| SegmentError::Short { len: datagram.len() })
    }

    fn encode_for_target(
        &self,
        datagram: &[u8],
        _: TargetToken,
        cookie: Cookie,
        out: &mut Vec<u8>,
    ) {
        if let Ok(segment) = self.decode(datagram) {
            out.extend(encode(&Segment { cookie, ..segment }));
        }
    }

    fn encode_reset(&self, segment: &Segment, out: &mut Vec<u8>) {
        let control = Control { aborts: true, ..Control::default() };
        out.extend(encode(&Segment { control, ..*segment }));
    }

    fn caller_address(&self, caller: Ipv4Addr, flow_port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(caller, flow_port)
    }
}

/// Encodes a segment.
pub fn encode(segment: &Segment) -> Vec<u8> {
    serde_json::to_vec(segment).unwrap_or_default()
}

/// Returns the packet that opens a flow, or a retransmission of it. `copy` is the number of earlier
/// transmissions.
pub fn opening(ends: FlowEnds, copy: u32) -> Segment {
    let control = Control { opens: true, ..Control::default() };
    Segment { ends, control, seq: 0, ack: copy, data_len: 0, cookie: 0 }
}
