//! Authenticated envelope of every datagram between instances.
//!
//! Layout: format (1), key number (1), length of the sender's name (1), sender's name, epoch (8),
//! sequence (8), body, code (16). The code is a BLAKE3 keyed hash over everything before it.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use thiserror::Error;

use crate::collections::HashMap;
use crate::ids::{Epoch, InstanceId};

const FORMAT: u8 = 1;
const CODE_BYTES: usize = 16;
const NUMBER_BYTES: usize = 8;
const FIXED_BYTES: usize = 3;
const WINDOW_BITS: u64 = 1_024;
const WORD_BITS: u64 = 64;
const WINDOW_WORDS: usize = (WINDOW_BITS / WORD_BITS) as usize;

/// Key that instances share, 32 bytes.
pub type PeerKey = [u8; 32];

/// Reason why a datagram is refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum EnvelopeError {
    /// The bytes are no envelope.
    #[error("malformed envelope")]
    Malformed,
    /// The key number is not in the settings.
    #[error("unknown key")]
    UnknownKey,
    /// The code does not match.
    #[error("forged envelope")]
    Forged,
    /// The envelope was seen before.
    #[error("replayed envelope")]
    Replayed,
    /// The envelope is from an earlier run of its sender, or the sender's clock went back.
    #[error("envelope of an earlier run of {sender} than {known}")]
    Outdated {
        /// Sender.
        sender: InstanceId,
        /// Latest run of the sender that is known.
        known: Epoch,
    },
}

/// Where an accepted datagram comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Sender.
    pub sender: InstanceId,
    /// Run of the sender.
    pub epoch: Epoch,
}

#[derive(Debug)]
struct Window {
    epoch: Epoch,
    highest: u64,
    seen: [u64; WINDOW_WORDS],
}

/// Seals outgoing datagrams and opens incoming ones.
#[derive(Debug)]
pub struct Sealer {
    me: InstanceId,
    epoch: AtomicU64,
    keys: Vec<(u8, PeerKey)>,
    sequence: AtomicU64,
    windows: Mutex<HashMap<InstanceId, Window>>,
}

impl Sealer {
    /// Creates a sealer. The first key seals; every key opens, so that keys can be rotated.
    pub fn new(me: InstanceId, epoch: Epoch, keys: Vec<(u8, PeerKey)>) -> Self {
        Self {
            me,
            epoch: AtomicU64::new(epoch),
            keys,
            sequence: AtomicU64::new(0),
            windows: Mutex::new(HashMap::default()),
        }
    }

    /// Makes the sealer use a larger run number; a smaller one changes nothing.
    pub fn raise_epoch(&self, epoch: Epoch) {
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Seals a body.
    ///
    /// # Panics
    ///
    /// Panics when the sealer was created without a key.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let (number, key) = self.keys[0];
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let name = self.me.as_bytes();
        let mut buf = Vec::with_capacity(overhead_bytes(name.len()) + body.len());
        buf.extend_from_slice(&[FORMAT, number, name.len() as u8]);
        buf.extend_from_slice(name);
        buf.extend_from_slice(&self.epoch.load(Ordering::Relaxed).to_be_bytes());
        buf.extend_from_slice(&sequence.to_be_bytes());
        buf.extend_from_slice(body);
        let code = blake3::keyed_hash(&key, &buf);
        buf.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
        buf
    }

    /// Opens an envelope and returns its sender and body.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is refused.
    pub fn open<'a>(&self, buf: &'a [u8]) -> Result<(Origin, &'a [u8]), EnvelopeError> {
        let opened = Opened::parse(buf)?;
        let key = self.keys.iter().find(|(number, _)| *number == opened.key);
        let (_, key) = key.ok_or(EnvelopeError::UnknownKey)?;
        let expected = blake3::keyed_hash(key, opened.sealed);
        if !is_equal(&expected.as_bytes()[..CODE_BYTES], opened.code) {
            return Err(EnvelopeError::Forged);
        }
        self.check_replay(&opened)?;
        let origin = Origin { sender: opened.sender, epoch: opened.epoch };
        Ok((origin, opened.body))
    }

    fn check_replay(&self, opened: &Opened<'_>) -> Result<(), EnvelopeError> {
        let mut windows = self.windows.lock();
        let window = windows.entry(opened.sender.clone()).or_insert(Window {
            epoch: opened.epoch,
            highest: 0,
            seen: [0; WINDOW_WORDS],
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

/// Returns the bytes that an envelope adds to a body, for a sender's name of `name_bytes`.
pub fn overhead_bytes(name_bytes: usize) -> usize {
    FIXED_BYTES + name_bytes + 2 * NUMBER_BYTES + CODE_BYTES
}

impl Window {
    fn accept(&mut self, epoch: Epoch, sequence: u64) -> bool {
        if epoch > self.epoch {
            *self = Window { epoch, highest: 0, seen: [0; WINDOW_WORDS] };
        }
        if sequence.saturating_add(WINDOW_BITS) <= self.highest {
            return false;
        }
        self.advance(sequence);
        let word = (sequence / WORD_BITS) as usize % WINDOW_WORDS;
        let bit = 1 << (sequence % WORD_BITS);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let first = self.highest / WORD_BITS + 1;
        let last = sequence / WORD_BITS;
        for word in first..=last.min(first + WINDOW_WORDS as u64 - 1) {
            self.seen[word as usize % WINDOW_WORDS] = 0;
        }
        self.highest = sequence;
    }
}

/// Returns the body of a sealed message without checking it.
pub fn unverified_body(buf: &[u8]) -> Option<&[u8]> {
    Opened::parse(buf).ok().map(|opened| opened.body)
}

struct Opened<'a> {
    key: u8,
    sender: InstanceId,
    epoch: Epoch,
    sequence: u64,
    body: &'a [u8],
    sealed: &'a [u8],
    code: &'a [u8],
}

impl<'a> Opened<'a> {
    fn parse(buf: &'a [u8]) -> Result<Self, EnvelopeError> {
        let malformed = EnvelopeError::Malformed;
        let [format, key, name_bytes, ..] = *buf else { return Err(malformed) };
        let start = FIXED_BYTES + usize::from(name_bytes);
        if format != FORMAT || buf.len() < overhead_bytes(usize::from(name_bytes)) {
            return Err(malformed);
        }
        let (sealed, code) = buf.split_at(buf.len() - CODE_BYTES);
        let name = std::str::from_utf8(&sealed[FIXED_BYTES..start]).map_err(|_| malformed)?;
        Ok(Self {
            key,
            sender: InstanceId::new(name),
            epoch: number_at(sealed, start),
            sequence: number_at(sealed, start + NUMBER_BYTES),
            body: &sealed[start + 2 * NUMBER_BYTES..],
            sealed,
            code,
        })
    }
}

fn number_at(buf: &[u8], at: usize) -> u64 {
    buf[at..at + NUMBER_BYTES].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0 && a.len() == b.len()
}
