//! Requests and answers inside flows, as the stand-in callers and targets speak them.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Id of a request: no two attempts share one.
pub type AttemptId = u64;

const REQUEST_HEAD_BYTES: usize = 20;
const ANSWER_HEAD_BYTES: usize = 12;
const SIGNATURE_BYTES: usize = 8;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowRequest {
    /// Id.
    pub id: AttemptId,
    /// Time that a target works on it, in milliseconds.
    pub work_ms: u32,
    /// Length of the answer's body, in bytes.
    pub answer_bytes: u32,
    /// Length of the request's body, in bytes.
    pub body_bytes: u32,
}

impl FlowRequest {
    /// Returns the request's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(REQUEST_HEAD_BYTES + self.body_bytes as usize);
        buf.extend_from_slice(&self.id.to_le_bytes());
        buf.extend_from_slice(&self.work_ms.to_le_bytes());
        buf.extend_from_slice(&self.answer_bytes.to_le_bytes());
        buf.extend_from_slice(&self.body_bytes.to_le_bytes());
        buf.extend(pattern(self.id, self.body_bytes as usize));
        buf
    }

    /// Reads a request from the start of a stream and removes it; `None` while it is incomplete.
    pub fn take(stream: &mut Vec<u8>) -> Option<Self> {
        let head = stream.first_chunk::<REQUEST_HEAD_BYTES>()?;
        let req = Self {
            id: u64_at(head, 0),
            work_ms: u32_at(head, 8),
            answer_bytes: u32_at(head, 12),
            body_bytes: u32_at(head, 16),
        };
        let end = REQUEST_HEAD_BYTES + req.body_bytes as usize;
        if stream.len() < end {
            return None;
        }
        stream.drain(..end);
        Some(req)
    }

    /// Returns the whole answer to the request.
    pub fn answer(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        buf.extend_from_slice(&self.id.to_le_bytes());
        buf.extend_from_slice(&self.answer_bytes.to_le_bytes());
        buf.extend(pattern(self.id, self.answer_bytes as usize));
        buf.extend_from_slice(&signature(&buf).to_le_bytes());
        buf
    }
}

/// What a stream of answers holds at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// Not the whole answer yet.
    Partial,
    /// The whole answer to the request.
    Complete,
    /// Something else than the answer to the request.
    Mismatch,
}

/// Compares the start of a stream with the answer to a request; removes it when it is whole.
pub fn take_answer(stream: &mut Vec<u8>, req: &FlowRequest) -> AnswerState {
    let end = ANSWER_HEAD_BYTES + req.answer_bytes as usize + SIGNATURE_BYTES;
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

fn signature(buf: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(buf);
    hasher.finish()
}

fn u32_at(head: &[u8; REQUEST_HEAD_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]])
}

fn u64_at(head: &[u8; REQUEST_HEAD_BYTES], at: usize) -> u64 {
    u64::from(u32_at(head, at)) | u64::from(u32_at(head, at + 4)) << 32
}
