//! Queue of packets that arrive at an instance before it has its directory.
//!
//! Callers do not wait for an instance to be ready: after an outage of all instances, and while a
//! single one restarts, the network fabric sends it packets from its first millisecond on. Without
//! routes and targets it could only drop them, and the callers would retransmit 200 ms later or use
//! up their attempts within a few milliseconds. The directory usually arrives within 100 ms, so the
//! packets are kept until then and are decided on with the directory of that moment.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::segment::{FlowEnds, Segment};

/// Longest time for which a packet is held. After it the caller has retransmitted the packet.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(400);
/// Largest number of held packets.
pub const MAX_HELD_PACKETS: usize = 1_024;
/// Largest total size of the held packets, in bytes.
pub const MAX_HELD_BYTES: usize = 512 * 1_024;

/// Packet that waits for the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPacket {
    /// Decoded header of the packet.
    pub segment: Segment,
    /// Whole packet, as it arrived.
    pub datagram: Vec<u8>,
    received_at: Instant,
}

/// Packets that wait for the directory, oldest first.
#[derive(Debug, Default)]
pub struct PacketHold {
    packets: VecDeque<HeldPacket>,
    bytes: usize,
}

impl PacketHold {
    /// Holds a packet, and returns whether there was room for it.
    ///
    /// A retransmitted opening packet replaces the copy that is held already, because two copies
    /// would open the flow at two targets.
    #[must_use]
    pub fn push(&mut self, segment: &Segment, datagram: &[u8], now: Instant) -> bool {
        let is_retransmitted_opening = segment.control.opens && segment.ack > 0;
        if is_retransmitted_opening {
            self.remove_opening(&segment.ends);
        }
        let has_room =
            self.packets.len() < MAX_HELD_PACKETS && self.bytes + datagram.len() <= MAX_HELD_BYTES;
        if has_room {
            self.bytes += datagram.len();
            let (segment, datagram) = (*segment, datagram.to_vec());
            self.packets.push_back(HeldPacket { segment, datagram, received_at: now });
        }
        has_room
    }

    /// Removes and returns the packets that have been held for [`MAX_HOLD_TIME`].
    pub fn take_expired(&mut self, now: Instant) -> Vec<HeldPacket> {
        let is_expired = |packet: &HeldPacket| now >= packet.received_at + MAX_HOLD_TIME;
        let count = self.packets.iter().take_while(|packet| is_expired(packet)).count();
        self.take(count)
    }

    /// Removes and returns all packets, in the order in which they arrived.
    pub fn take_all(&mut self) -> Vec<HeldPacket> {
        self.take(self.packets.len())
    }

    fn take(&mut self, count: usize) -> Vec<HeldPacket> {
        let packets: Vec<_> = self.packets.drain(..count).collect();
        self.bytes -= packets.iter().map(|packet| packet.datagram.len()).sum::<usize>();
        packets
    }

    fn remove_opening(&mut self, ends: &FlowEnds) {
        let is_copy =
            |packet: &HeldPacket| packet.segment.control.opens && packet.segment.ends == *ends;
        let Some(index) = self.packets.iter().position(is_copy) else { return };
        if let Some(packet) = self.packets.remove(index) {
            self.bytes -= packet.datagram.len();
        }
    }
}
