//! Encoding of requests and answers in the byte streams of flows between stand-in callers and
//! targets.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Id of an attempt at a request. A retry has an id of its own, so that tests can detect a request
/// that ran twice.
pub type AttemptId = u64;

const REQUEST_HEADER_BYTES: usize = 20;
const ANSWER_HEADER_BYTES: usize = 12;
const HASH_BYTES: usize = 8;

/// A request of a caller. Its body is a byte pattern that the id determines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRequest {
    /// Id, which the answer repeats.
    pub id: AttemptId,
    /// Time that a target takes to process the request, in milliseconds.
    pub work_ms: u32,
    /// Length of the answer's body, in bytes.
    pub answer_bytes: u32,
    /// Length of the request's body, in bytes.
    pub body_bytes: u32,
}

impl FlowRequest {
    /// Encodes the request with its body.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(REQUEST_HEADER_BYTES + self.body_bytes as usize);
        buf.extend_from_slice(&self.id.to_le_bytes());
        buf.extend_from_slice(&self.work_ms.to_le_bytes());
        buf.extend_from_slice(&self.answer_bytes.to_le_bytes());
        buf.extend_from_slice(&self.body_bytes.to_le_bytes());
        buf.extend(pattern(self.id, self.body_bytes as usize));
        buf
    }

    /// Decodes a request at the start of a stream and removes it from the stream. Returns `None`
    /// while the request is incomplete.
    pub fn take(stream: &mut Vec<u8>) -> Option<Self> {
        let header = stream.first_chunk::<REQUEST_HEADER_BYTES>()?;
        let req = Self {
            id: u64_at(header, 0),
            work_ms: u32_at(header, 8),
            answer_bytes: u32_at(header, 12),
            body_bytes: u32_at(header, 16),
        };
        let end = REQUEST_HEADER_BYTES + req.body_bytes as usize;
        if stream.len() < end {
            return None;
        }
        stream.drain(..end);
        Some(req)
    }

    /// Encodes the answer to the request: a header, a body whose byte pattern the id determines,
    /// and a hash over both.
    pub fn answer(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        buf.extend_from_slice(&self.id.to_le_bytes());
        buf.extend_from_slice(&self.answer_bytes.to_le_bytes());
        buf.extend(pattern(self.id, self.answer_bytes as usize));
        buf.extend_from_slice(&hash(&buf).to_le_bytes());
        buf
    }
}

/// Result of a comparison between the start of a stream and the expected answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// The bytes so far match, but the answer is incomplete.
    Partial,
    /// The stream starts with the expected answer.
    Complete,
    /// A byte differs from the expected answer.
    Mismatch,
}

/// Compares the start of a stream with the expected answer to a request, and removes the answer
/// from the stream once it is complete.
pub fn take_answer(stream: &mut Vec<u8>, req: &FlowRequest) -> AnswerState {
    let end = ANSWER_HEADER_BYTES + req.answer_bytes as usize + HASH_BYTES;
    let expected = req.answer();
    let len = stream.len().min(end);
    if stream[..len] != expected[..len] {
        return AnswerState::Mismatch;
    }
    if len < end {
        return AnswerState::Partial;
    }
    stream.drain(..end);
    AnswerState::Complete
}

fn pattern(id: AttemptId, len: usize) -> impl Iterator<Item = u8> {
    (0..len).map(move |index| (id as usize).wrapping_mul(31).wrapping_add(index * 7) as u8)
}

fn hash(buf: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(buf);
    hasher.finish()
}

fn u32_at(header: &[u8; REQUEST_HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
}

fn u64_at(header: &[u8; REQUEST_HEADER_BYTES], at: usize) -> u64 {
    u64::from(u32_at(header, at)) | u64::from(u32_at(header, at + 4)) << 32
}
