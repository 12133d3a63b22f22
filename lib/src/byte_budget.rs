//! Token bucket that limits the bytes of control messages.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket whose tokens are bytes. A message may overdraw it; no bytes are available until the
/// refills have paid the debt.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    max_debt: u64,
    /// Available bytes; negative while there is a debt.
    tokens: i64,
    refilled_at: Option<Instant>,
}

impl ByteBudget {
    /// Creates a full bucket that holds at most `burst_bytes` and has no limit on its debt.
    pub fn new(bytes_per_second: u64, burst_bytes: u64) -> Self {
        let (max_debt, tokens) = (u64::MAX, to_signed(burst_bytes));
        Self { bytes_per_second, burst_bytes, max_debt, tokens, refilled_at: None }
    }

    /// Limits the debt to `bytes`; debt beyond the limit is forgiven.
    #[must_use]
    pub fn with_max_debt(mut self, bytes: u64) -> Self {
        self.max_debt = bytes;
        self
    }

    /// Sets the refill rate.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
    }

    /// Adds the bytes for the time since the last refill.
    pub fn refill(&mut self, now: Instant) {
        let since = self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let added = to_signed(self.bytes_per_second.saturating_mul(millis) / 1_000);
        self.tokens = self.tokens.saturating_add(added).min(to_signed(self.burst_bytes));
        if added > 0 || self.refilled_at.is_none() {
            self.refilled_at = Some(now);
        }
    }

    /// Returns the bytes that may be sent as of the last refill; 0 while there is a debt.
    pub fn available(&self) -> u64 {
        u64::try_from(self.tokens).unwrap_or_default()
    }

    /// Refills the bucket and returns whether it holds any bytes. An optional message is sent only
    /// if it does.
    pub fn has_available_bytes(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.available() > 0
    }

    /// Removes the bytes of a message that was sent, into debt if necessary.
    pub fn spend(&mut self, bytes: u64) {
        self.tokens = self.tokens.saturating_sub(to_signed(bytes)).max(-to_signed(self.max_debt));
    }
}

fn to_signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
