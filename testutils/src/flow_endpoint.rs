//! One end of a flow: a reliable stream of bytes over packets that may be lost.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::echo_packet::{EchoPacket, ACK, FIN, MAX_DATA_BYTES};

/// Packets that may be under way.
const WINDOW_PACKETS: usize = 16;
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LONGEST_RESEND: Duration = Duration::from_millis(1_600);
const MAX_RESENDS: u32 = 8;

/// What an end sends next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingSegment {
    /// Flags.
    pub flags: u8,
    /// Sequence number.
    pub seq: u32,
    /// Next sequence number that is expected.
    pub ack: u32,
    /// Data.
    pub data: Vec<u8>,
}

/// One end of an open flow.
#[derive(Debug)]
pub struct FlowEndpoint {
    first_seq: u32,
    first_expected: u32,
    out: Vec<u8>,
    acked: usize,
    sent: usize,
    is_finished: bool,
    received: Vec<u8>,
    taken: usize,
    early: BTreeMap<usize, Vec<u8>>,
    peer_end: Option<usize>,
    owes_ack: bool,
    resend_at: Option<Instant>,
    interval: Duration,
    resends: u32,
}

impl FlowEndpoint {
    /// Creates an end whose first byte has the sequence number `first_seq` and that expects
    /// `first_expected`.
    pub fn new(first_seq: u32, first_expected: u32) -> Self {
        Self {
            first_seq,
            first_expected,
            out: Vec::new(),
            acked: 0,
            sent: 0,
            is_finished: false,
            received: Vec::new(),
            taken: 0,
            early: BTreeMap::new(),
            peer_end: None,
            owes_ack: false,
            resend_at: None,
            interval: FIRST_RESEND,
            resends: 0,
        }
    }

    /// Appends bytes to send.
    pub fn write(&mut self, data: &[u8]) {
        self.out.extend_from_slice(data);
    }

    /// Sends no more after what was written.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// Acknowledges at the next poll even if nothing new came.
    pub fn schedule_ack(&mut self) {
        self.owes_ack = true;
    }

    /// Tells whether both ends have sent all and heard so.
    pub fn is_closed(&self) -> bool {
        let has_all = self.peer_end.is_some_and(|end| self.received.len() >= end);
        self.is_finished && self.acked == self.length() && has_all
    }

    /// Tells whether the other end has sent all it will send.
    pub fn is_peer_finished(&self) -> bool {
        self.peer_end.is_some_and(|end| self.received.len() >= end)
    }

    /// Tells whether data was sent again so often that the flow counts as lost.
    pub fn has_timed_out(&self) -> bool {
        self.resends > MAX_RESENDS
    }

    /// Returns the bytes that came since the last call.
    pub fn take_received(&mut self) -> Vec<u8> {
        let new = self.received[self.taken..].to_vec();
        self.taken = self.received.len();
        new
    }

    /// Takes a packet of the other end.
    pub fn on_packet(&mut self, packet: &EchoPacket, now: Instant) {
        if packet.has(ACK) {
            self.on_ack(packet.ack, now);
        }
        let offset = packet.seq.wrapping_sub(self.first_expected) as i32;
        let Ok(offset) = usize::try_from(offset) else {
            self.owes_ack |= !packet.data.is_empty();
            return;
        };
        if packet.has(FIN) {
            self.peer_end = Some(offset + packet.data.len());
            self.owes_ack = true;
        }
        if !packet.data.is_empty() {
            self.owes_ack = true;
            self.early.insert(offset, packet.data.clone());
            self.join_early();
        }
    }

    /// Returns what is to be sent now.
    pub fn poll(&mut self, now: Instant) -> Vec<OutgoingSegment> {
        let mut segments = Vec::new();
        if self.resend_at.is_some_and(|at| now >= at) {
            self.resends += 1;
            self.interval = (self.interval * 2).min(LONGEST_RESEND);
            self.resend_at = Some(now + self.interval);
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
            self.resend_at.get_or_insert(now + self.interval);
        }
        if self.owes_ack && segments.is_empty() {
            let seq = self.first_seq.wrapping_add(self.sent as u32);
            segments.push(OutgoingSegment {
                flags: ACK,
                seq,
                ack: self.next_expected(),
                data: Vec::new(),
            });
        }
        self.owes_ack = false;
        segments
    }

    /// Returns the length of the stream with its end, which counts as one byte.
    fn length(&self) -> usize {
        self.out.len() + usize::from(self.is_finished)
    }

    fn next_expected(&self) -> u32 {
        let end = usize::from(self.is_peer_finished());
        self.first_expected.wrapping_add((self.received.len() + end) as u32)
    }

    fn segment(&self, from: usize) -> Option<(OutgoingSegment, usize)> {
        if from >= self.length() {
            return None;
        }
        let end = (from + MAX_DATA_BYTES).min(self.out.len());
        let data = self.out.get(from..end).unwrap_or_default().to_vec();
        let is_last = self.is_finished && end == self.out.len();
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
            self.interval = FIRST_RESEND;
            self.resends = 0;
            self.resend_at = (self.sent > self.acked).then(|| now + self.interval);
        }
    }

    fn join_early(&mut self) {
        while let Some(entry) = self.early.first_entry() {
            let offset = *entry.key();
            if offset > self.received.len() {
                return;
            }
            let data = entry.remove();
            let known = self.received.len() - offset;
            self.received.extend(data.get(known..).unwrap_or_default());
        }
    }
}
