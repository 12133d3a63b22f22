//! Random numbers behind a trait, so that tests can fix the seed.

use parking_lot::Mutex;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Source of random numbers.
pub trait Random: Send + Sync {
    /// Returns 64 uniformly distributed random bits.
    fn next(&self) -> u64;

    /// Returns a random number in `0..bound`, or 0 when `bound` is 0.
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next() % bound
    }
}

/// Pseudo-random generator whose numbers depend only on its seed.
pub struct SeededRandom {
    rng: Mutex<ChaCha8Rng>,
}

impl SeededRandom {
    /// Creates a generator that yields the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        Self { rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)) }
    }

    /// Creates a generator with a seed from the operating system.
    pub fn from_system() -> Self {
        Self { rng: Mutex::new(ChaCha8Rng::from_entropy()) }
    }
}

impl Random for SeededRandom {
    fn next(&self) -> u64 {
        self.rng.lock().next_u64()
    }
}
