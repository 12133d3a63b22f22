//! Cookies: the number in each packet of an open flow that names its target.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ids::Cookie;

/// Derives cookies from the names of targets, equally on every instance.
#[derive(Clone, Copy, Debug)]
pub struct CookieHasher {
    key: [u8; 16],
}

impl CookieHasher {
    /// Creates a maker; every instance of a deployment uses the same key.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    /// Returns the cookie of a service's target. It is never 0, which stands for no target.
    pub fn cookie(&self, service: &str, target: &str) -> Cookie {
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write(service.as_bytes());
        hasher.write_u8(0);
        hasher.write(target.as_bytes());
        let hash = hasher.finish();
        Cookie::try_from(hash >> 32).unwrap_or_default().max(1)
    }
}
