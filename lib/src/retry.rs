//! Retry budget: a token bucket that limits retries to a fraction of the requests, so that retries
//! do not multiply the load on failing backend servers.

use std::sync::atomic::{AtomicU32, Ordering};

/// Number of retries that a full budget allows in a row.
pub const MAX_RETRY_BURST: u32 = 10;
/// Number of requests that pay for one retry, which is also the number of tokens that it costs.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Retry budget of one service at one instance. It starts full.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: AtomicU32::new(MAX_RETRY_BURST * REQUESTS_PER_RETRY) }
    }
}

impl RetryBudget {
    /// Adds one token for a request.
    pub fn deposit(&self) {
        let limit = MAX_RETRY_BURST * REQUESTS_PER_RETRY;
        let add = |tokens: u32| (tokens < limit).then_some(tokens + 1);
        // The update fails only when the budget is full, and then there is nothing to add.
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Pays for one retry. Returns whether the budget allowed it.
    pub fn withdraw(&self) -> bool {
        let take = |tokens: u32| tokens.checked_sub(REQUESTS_PER_RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
