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

#[derive(Debug)]
struct HeldPacket {
    ends: FlowEnds,
    opens: bool,
    received_at: Instant,
    datagram: Vec<u8>,
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
            self.packets.push_back(HeldPacket {
                ends: segment.ends,
                opens: segment.control.opens,
                received_at: now,
                datagram: datagram.to_vec(),
            });
        }
        has_room
    }

    /// Removes and returns the datagrams that have been held for [`MAX_HOLD_TIME`].
    pub fn take_expired(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let is_expired = |packet: &HeldPacket| now >= packet.received_at + MAX_HOLD_TIME;
        let count = self.packets.iter().take_while(|packet| is_expired(packet)).count();
        self.take(count)
    }

    /// Removes and returns all datagrams, in the order in which they arrived.
    pub fn take_all(&mut self) -> Vec<Vec<u8>> {
        self.take(self.packets.len())
    }

    fn take(&mut self, count: usize) -> Vec<Vec<u8>> {
        let datagrams: Vec<_> = self.packets.drain(..count).map(|it| it.datagram).collect();
        self.bytes -= datagrams.iter().map(Vec::len).sum::<usize>();
        datagrams
    }

    fn remove_opening(&mut self, ends: &FlowEnds) {
        let is_copy = |packet: &HeldPacket| packet.opens && packet.ends == *ends;
        let Some(index) = self.packets.iter().position(is_copy) else { return };
        if let Some(packet) = self.packets.remove(index) {
            self.bytes -= packet.datagram.len();
        }
    }
}
