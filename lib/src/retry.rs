//! Budget of retries in proportion to requests.

use std::sync::atomic::{AtomicU32, Ordering};

/// Largest number of retries that a quiet time saves up.
pub const MAX_SAVED_RETRIES: u32 = 10;
/// Requests that earn one retry.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Budget of the retries of one service at one instance.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: AtomicU32::new(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY) }
    }
}

impl RetryBudget {
    /// Counts a request, which earns a part of a retry.
    pub fn deposit(&self) {
        let limit = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY;
        let add = |tenths: u32| (tenths < limit).then_some(tenths + 1);
        // A full budget stays as it is.
        let _ = self.tenths.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, and tells whether there was one.
    pub fn withdraw(&self) -> bool {
        let take = |tenths: u32| tenths.checked_sub(REQUESTS_PER_RETRY);
        self.tenths.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
