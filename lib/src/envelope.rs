//! Authenticated envelope of every datagram between instances.
//!
//! Layout, with sizes in bytes: format (1), key number (1), length of the sender's name (1), sender's
//! name, epoch (8), sequence number (8), body, authentication tag (16). The tag is the start of a
//! BLAKE3 keyed hash over everything before it. Integers are big-endian.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use thiserror::Error;

use crate::collections::HashMap;
use crate::ids::{Epoch, InstanceId};

const FORMAT: u8 = 1;
const TAG_BYTES: usize = 16;
const U64_BYTES: usize = 8;
/// Size of the format, the key number and the length of the sender's name.
const PREFIX_BYTES: usize = 3;
/// Number of latest sequence numbers that may arrive out of order; older ones count as replayed.
const REPLAY_WINDOW_BITS: u64 = 1_024;
const WORD_BITS: u64 = 64;
const REPLAY_WINDOW_WORDS: usize = (REPLAY_WINDOW_BITS / WORD_BITS) as usize;

/// Secret key that all instances share.
pub type PeerKey = [u8; 32];

/// Reason why a datagram was refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum EnvelopeError {
    /// The bytes are not an envelope of this format.
    #[error("malformed envelope")]
    Malformed,
    /// The settings have no key with the envelope's key number.
    #[error("unknown key")]
    UnknownKey,
    /// The authentication tag does not match.
    #[error("forged envelope")]
    Forged,
    /// The sequence number was received before, or is too old for the replay window.
    #[error("replayed envelope")]
    Replayed,
    /// The epoch is smaller than the latest one of the sender: the datagram is from an earlier run, or
    /// the sender's clock went back before its current run.
    #[error("envelope of {sender} has an earlier epoch than {known}")]
    Outdated {
        /// Sender of the envelope.
        sender: InstanceId,
        /// Latest epoch of the sender that was received.
        known: Epoch,
    },
}

/// Sender of an accepted datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Name of the sender.
    pub sender: InstanceId,
    /// Epoch of the sender's run.
    pub epoch: Epoch,
}

/// Sliding window over the sequence numbers that one sender has used in its latest epoch.
#[derive(Debug)]
struct ReplayWindow {
    epoch: Epoch,
    highest: u64,
    seen: [u64; REPLAY_WINDOW_WORDS],
}

/// Authenticates outgoing datagrams, and verifies incoming ones with replay protection.
#[derive(Debug)]
pub struct Sealer {
    sender: InstanceId,
    epoch: AtomicU64,
    keys: Vec<(u8, PeerKey)>,
    sequence: AtomicU64,
    windows: Mutex<HashMap<InstanceId, ReplayWindow>>,
}

impl Sealer {
    /// Creates a sealer for the instance `sender`, with numbered keys.
    ///
    /// The first key seals. Every key opens, so that keys can be rotated without a gap.
    pub fn new(sender: InstanceId, epoch: Epoch, keys: Vec<(u8, PeerKey)>) -> Self {
        Self {
            sender,
            epoch: AtomicU64::new(epoch),
            keys,
            sequence: AtomicU64::new(0),
            windows: Mutex::new(HashMap::default()),
        }
    }

    /// Raises the epoch of sealed datagrams; a smaller epoch has no effect.
    pub fn raise_epoch(&self, epoch: Epoch) {
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Returns `body` in an envelope with a new sequence number.
    ///
    /// # Panics
    ///
    /// Panics if the sealer was created without a key.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let (number, key) = self.keys[0];
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let name = self.sender.as_bytes();
        let mut buf = Vec::with_capacity(overhead_bytes(name.len()) + body.len());
        buf.extend_from_slice(&[FORMAT, number, name.len() as u8]);
        buf.extend_from_slice(name);
        buf.extend_from_slice(&self.epoch.load(Ordering::Relaxed).to_be_bytes());
        buf.extend_from_slice(&sequence.to_be_bytes());
        buf.extend_from_slice(body);
        let tag = blake3::keyed_hash(&key, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        buf
    }

    /// Verifies an envelope, and returns its sender and body.
    ///
    /// # Errors
    ///
    /// Returns an [`EnvelopeError`] if the envelope is malformed, is not authentic, was received
    /// before, or has an earlier epoch than the latest one of its sender.
    pub fn open<'a>(&self, buf: &'a [u8]) -> Result<(Origin, &'a [u8]), EnvelopeError> {
        let opened = ParsedEnvelope::parse(buf)?;
        let key = self.keys.iter().find(|(number, _)| *number == opened.key);
        let (_, key) = key.ok_or(EnvelopeError::UnknownKey)?;
        let expected = blake3::keyed_hash(key, opened.sealed);
        if !is_equal_constant_time(&expected.as_bytes()[..TAG_BYTES], opened.tag) {
            return Err(EnvelopeError::Forged);
        }
        self.check_replay(&opened)?;
        let origin = Origin { sender: opened.sender, epoch: opened.epoch };
        Ok((origin, opened.body))
    }

    fn check_replay(&self, opened: &ParsedEnvelope<'_>) -> Result<(), EnvelopeError> {
        let mut windows = self.windows.lock();
        let window = windows.entry(opened.sender.clone()).or_insert(ReplayWindow {
            epoch: opened.epoch,
            highest: 0,
            seen: [0; REPLAY_WINDOW_WORDS],
        });
        if opened.epoch < window.epoch {
            let sender = opened.sender.clone();
            return Err(EnvelopeError::Outdated { sender, known: window.epoch });
        }
        if window.accept(opened.epoch, opened.sequence) {
            Ok(())
        } else {
            Err(EnvelopeError::Replayed)
        }
    }
}

/// Returns the bytes that an envelope adds to a body, for a sender's name of `name_bytes` bytes.
pub fn overhead_bytes(name_bytes: usize) -> usize {
    PREFIX_BYTES + name_bytes + 2 * U64_BYTES + TAG_BYTES
}

impl ReplayWindow {
    /// Marks a sequence number as received, and returns whether it is new.
    fn accept(&mut self, epoch: Epoch, sequence: u64) -> bool {
        if epoch > self.epoch {
            *self = ReplayWindow { epoch, highest: 0, seen: [0; REPLAY_WINDOW_WORDS] };
        }
        if sequence.saturating_add(REPLAY_WINDOW_BITS) <= self.highest {
            return false;
        }
        self.advance(sequence);
        let word = (sequence / WORD_BITS) as usize % REPLAY_WINDOW_WORDS;
        let bit = 1 << (sequence % WORD_BITS);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    /// Clears the words between the highest sequence number and `sequence`, and sets the highest.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let first = self.highest / WORD_BITS + 1;
        let last = sequence / WORD_BITS;
        for word in first..=last.min(first + REPLAY_WINDOW_WORDS as u64 - 1) {
            self.seen[word as usize % REPLAY_WINDOW_WORDS] = 0;
        }
        self.highest = sequence;
    }
}

/// Returns the body of an envelope without a check of its authentication tag.
pub fn unverified_body(buf: &[u8]) -> Option<&[u8]> {
    ParsedEnvelope::parse(buf).ok().map(|opened| opened.body)
}

struct ParsedEnvelope<'a> {
    key: u8,
    sender: InstanceId,
    epoch: Epoch,
    sequence: u64,
    body: &'a [u8],
    /// Bytes that the tag authenticates.
    sealed: &'a [u8],
    tag: &'a [u8],
}

impl<'a> ParsedEnvelope<'a> {
    fn parse(buf: &'a [u8]) -> Result<Self, EnvelopeError> {
        let malformed = EnvelopeError::Malformed;
        let [format, key, name_bytes, ..] = *buf else { return Err(malformed) };
        let start = PREFIX_BYTES + usize::from(name_bytes);
        if format != FORMAT || buf.len() < overhead_bytes(usize::from(name_bytes)) {
            return Err(malformed);
        }
        let (sealed, tag) = buf.split_at(buf.len() - TAG_BYTES);
        let name = std::str::from_utf8(&sealed[PREFIX_BYTES..start]).map_err(|_| malformed)?;
        Ok(Self {
            key,
            sender: InstanceId::new(name),
            epoch: read_u64(sealed, start),
            sequence: read_u64(sealed, start + U64_BYTES),
            body: &sealed[start + 2 * U64_BYTES..],
            sealed,
            tag,
        })
    }
}

fn read_u64(buf: &[u8], at: usize) -> u64 {
    buf[at..at + U64_BYTES].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

fn is_equal_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0 && a.len() == b.len()
}
