//! Endpoint of a flow: a reliable byte stream over packets that may be lost, duplicated or
//! reordered.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::echo_packet::{EchoPacket, ACK, FIN, MAX_DATA_BYTES};

/// Size of the send window, in packets of [`MAX_DATA_BYTES`].
const WINDOW_PACKETS: usize = 16;
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

/// Segment that an endpoint sends next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingSegment {
    /// Flags as in [`EchoPacket::flags`].
    pub flags: u8,
    /// Sequence number of the first byte of `data`.
    pub seq: u32,
    /// Next sequence number that the endpoint expects.
    pub ack: u32,
    /// Payload, at most [`MAX_DATA_BYTES`] long.
    pub data: Vec<u8>,
}

/// Endpoint of an open flow. It does no I/O and reads no clock: callers pass packets in, poll for
/// segments to send, and supply the time.
#[derive(Debug)]
pub struct FlowEndpoint {
    first_seq: u32,
    first_expected: u32,
    outgoing: Vec<u8>,
    /// Length of the acknowledged part of the stream to send.
    acked: usize,
    /// Length of the part of the stream that was sent at least once.
    sent: usize,
    is_finished: bool,
    received: Vec<u8>,
    consumed: usize,
    /// Packets that arrived ahead of a gap, by the offset of their first byte.
    out_of_order: BTreeMap<usize, Vec<u8>>,
    /// Length of the stream of the other endpoint, known once its FIN has arrived.
    peer_length: Option<usize>,
    is_ack_due: bool,
    retransmit_at: Option<Instant>,
    retransmit_timeout: Duration,
    retransmissions: u32,
}

impl FlowEndpoint {
    /// Creates an endpoint. The first byte that it sends has the sequence number `first_seq`; the
    /// first byte that it receives has `first_expected`.
    pub fn new(first_seq: u32, first_expected: u32) -> Self {
        Self {
            first_seq,
            first_expected,
            outgoing: Vec::new(),
            acked: 0,
            sent: 0,
            is_finished: false,
            received: Vec::new(),
            consumed: 0,
            out_of_order: BTreeMap::new(),
            peer_length: None,
            is_ack_due: false,
            retransmit_at: None,
            retransmit_timeout: INITIAL_RETRANSMIT_TIMEOUT,
            retransmissions: 0,
        }
    }

    /// Appends bytes to the stream to send.
    pub fn write(&mut self, data: &[u8]) {
        self.outgoing.extend_from_slice(data);
    }

    /// Ends the stream to send. Its last packet carries [`FIN`]; no bytes may be written
    /// afterwards.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// Makes the next poll return an acknowledgement even if no packet has arrived.
    pub fn schedule_ack(&mut self) {
        self.is_ack_due = true;
    }

    /// Returns whether both directions are complete: the other endpoint has acknowledged all bytes,
    /// and all of its bytes have arrived.
    pub fn is_closed(&self) -> bool {
        let has_all = self.peer_length.is_some_and(|len| self.received.len() >= len);
        self.is_finished && self.acked == self.length() && has_all
    }

    /// Returns whether all bytes of the other endpoint have arrived.
    pub fn is_peer_finished(&self) -> bool {
        self.peer_length.is_some_and(|len| self.received.len() >= len)
    }

    /// Returns whether the flow has failed, because its data was retransmitted too often without an
    /// acknowledgement.
    pub fn has_timed_out(&self) -> bool {
        self.retransmissions > MAX_RETRANSMISSIONS
    }

    /// Returns the bytes that were received in order since the last call.
    pub fn take_received(&mut self) -> Vec<u8> {
        let new = self.received[self.consumed..].to_vec();
        self.consumed = self.received.len();
        new
    }

    /// Processes a packet of the other endpoint.
    pub fn on_packet(&mut self, packet: &EchoPacket, now: Instant) {
        if packet.has(ACK) {
            self.on_ack(packet.ack, now);
        }
        let offset = packet.seq.wrapping_sub(self.first_expected) as i32;
        let Ok(offset) = usize::try_from(offset) else {
            // A retransmission of received data means that its acknowledgement was lost.
            self.is_ack_due |= !packet.data.is_empty();
            return;
        };
        if packet.has(FIN) {
            self.peer_length = Some(offset + packet.data.len());
            self.is_ack_due = true;
        }
        if !packet.data.is_empty() {
            self.is_ack_due = true;
            self.out_of_order.insert(offset, packet.data.clone());
            self.reassemble();
        }
    }

    /// Returns the segments that are due at `now`: a retransmission, new data that fits the window,
    /// or a bare acknowledgement.
    pub fn poll(&mut self, now: Instant) -> Vec<OutgoingSegment> {
        let mut segments = Vec::new();
        if self.retransmit_at.is_some_and(|at| now >= at) {
            self.retransmissions += 1;
            self.retransmit_timeout = (self.retransmit_timeout * 2).min(MAX_RETRANSMIT_TIMEOUT);
            self.retransmit_at = Some(now + self.retransmit_timeout);
            segments.extend(self.segment(self.acked).map(|(segment, _)| segment));
        }
        while self.sent < self.length()
            && self.sent.saturating_sub(self.acked) < WINDOW_PACKETS * MAX_DATA_BYTES
        {
            let Some((segment, next)) = self.segment(self.sent) else { break };
            self.sent = next;
            segments.push(segment);
        }
        if self.sent > self.acked {
            self.retransmit_at.get_or_insert(now + self.retransmit_timeout);
        }
        if self.is_ack_due && segments.is_empty() {
            let seq = self.first_seq.wrapping_add(self.sent as u32);
            segments.push(OutgoingSegment {
                flags: ACK,
                seq,
                ack: self.next_expected(),
                data: Vec::new(),
            });
        }
        self.is_ack_due = false;
        segments
    }

    /// Returns the length of the stream to send. Its end counts as one byte, as the FIN of TCP
    /// does.
    fn length(&self) -> usize {
        self.outgoing.len() + usize::from(self.is_finished)
    }

    fn next_expected(&self) -> u32 {
        let end = usize::from(self.is_peer_finished());
        self.first_expected.wrapping_add((self.received.len() + end) as u32)
    }

    /// Returns the segment that starts at offset `from` of the stream to send, and the offset after
    /// it. Returns `None` at the end of the stream.
    fn segment(&self, from: usize) -> Option<(OutgoingSegment, usize)> {
        if from >= self.length() {
            return None;
        }
        let end = (from + MAX_DATA_BYTES).min(self.outgoing.len());
        let data = self.outgoing.get(from..end).unwrap_or_default().to_vec();
        let is_last = self.is_finished && end == self.outgoing.len();
        let flags = if is_last { ACK | FIN } else { ACK };
        let seq = self.first_seq.wrapping_add(from as u32);
        let segment = OutgoingSegment { flags, seq, ack: self.next_expected(), data };
        Some((segment, end + usize::from(is_last)))
    }

    fn on_ack(&mut self, ack: u32, now: Instant) {
        let offset = ack.wrapping_sub(self.first_seq) as i32;
        let Ok(offset) = usize::try_from(offset) else { return };
        if offset > self.acked && offset <= self.sent {
            self.acked = offset;
            self.retransmit_timeout = INITIAL_RETRANSMIT_TIMEOUT;
            self.retransmissions = 0;
            self.retransmit_at = (self.sent > self.acked).then(|| now + self.retransmit_timeout);
        }
    }

    fn reassemble(&mut self) {
        while let Some(entry) = self.out_of_order.first_entry() {
            let offset = *entry.key();
            if offset > self.received.len() {
                return;
            }
            let data = entry.remove();
            let overlap = self.received.len() - offset;
            self.received.extend(data.get(overlap..).unwrap_or_default());
        }
    }
}
