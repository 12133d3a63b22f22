//! Prepares reordered TCP segments for the TCP stack of the stand-ins.
//!
//! A fabric that spreads the packets of a flow over several instances reorders them. By RFC 9293,
//! section 3.10.7.4, the data of a segment counts even if the segment's acknowledgment is older than
//! one that came before. `smoltcp` drops such a segment with its data, and then needs several
//! retransmission timeouts for each one. The segments are therefore given the newest acknowledgment
//! and window of their flow before they reach the stack.

use std::collections::HashMap;

use smoltcp::wire::{IpAddress, IpProtocol, Ipv4Packet, TcpPacket, TcpSeqNumber};

/// Addresses and ports of the sender and the receiver of a segment.
type SegmentEnds = (IpAddress, u16, IpAddress, u16);

/// Acknowledgment number and window of a segment.
type Acknowledgment = (TcpSeqNumber, u16);

/// Newest acknowledgment of each flow and direction.
#[derive(Debug, Default)]
pub struct ReorderedAcks {
    newest: HashMap<SegmentEnds, Acknowledgment>,
}

impl ReorderedAcks {
    /// Replaces an acknowledgment that is older than an earlier one by the newest one. Other packets
    /// stay as they are.
    pub fn refresh(&mut self, packet: &mut [u8]) {
        let Ok(mut ip) = Ipv4Packet::new_checked(packet) else { return };
        if ip.next_header() != IpProtocol::Tcp {
            return;
        }
        let src = IpAddress::from(ip.src_addr());
        let dst = IpAddress::from(ip.dst_addr());
        let Ok(mut tcp) = TcpPacket::new_checked(ip.payload_mut()) else { return };
        if !tcp.ack() || tcp.rst() {
            return;
        }
        let ends = (src, tcp.src_port(), dst, tcp.dst_port());
        if tcp.syn() {
            // A new connection may use the ports of an earlier one.
            self.newest.remove(&ends);
        }
        let own = (tcp.ack_number(), tcp.window_len());
        let newest = self.newest.entry(ends).or_insert(own);
        if newest.0 <= own.0 {
            *newest = own;
            return;
        }
        tcp.set_ack_number(newest.0);
        tcp.set_window_len(newest.1);
        tcp.fill_checksum(&src, &dst);
    }
}
