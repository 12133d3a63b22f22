//! Token bucket that bounds the bytes of control messages.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that counts bytes. A message may overdraw it; nothing is available until the debt
/// is paid.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst: u64,
    max_debt: u64,
    tokens: i64,
    filled_at: Option<Instant>,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u64, burst: u64) -> Self {
        let (max_debt, tokens) = (u64::MAX, signed(burst));
        Self { bytes_per_second, burst, max_debt, tokens, filled_at: None }
    }

    /// Forgives debt beyond `bytes`.
    #[must_use]
    pub fn with_max_debt(mut self, bytes: u64) -> Self {
        self.max_debt = bytes;
        self
    }

    /// Changes the rate, in bytes per second.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
    }

    /// Adds the tokens of the time that has passed.
    pub fn refill(&mut self, now: Instant) {
        let since = self.filled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let added = signed(self.bytes_per_second.saturating_mul(millis) / 1_000);
        self.tokens = self.tokens.saturating_add(added).min(signed(self.burst));
        if added > 0 || self.filled_at.is_none() {
            self.filled_at = Some(now);
        }
    }

    /// Returns the bytes that may be sent now.
    pub fn available(&self) -> u64 {
        u64::try_from(self.tokens).unwrap_or_default()
    }

    /// Tells whether something that may be left out can be sent now.
    pub fn has_room(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.available() > 0
    }

    /// Takes the bytes of a message that was sent.
    pub fn spend(&mut self, bytes: u64) {
        self.tokens = self.tokens.saturating_sub(signed(bytes)).max(-signed(self.max_debt));
    }
}

fn signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
