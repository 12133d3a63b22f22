//! Cookies: keyed hashes that identify the target of a flow in each of its packets.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ids::Cookie;

/// Computes cookies from the names of services and targets.
///
/// Instances that have the same key compute the same cookies, so each of them can forward the packets
/// of any open flow.
#[derive(Clone, Copy, Debug)]
pub struct CookieHasher {
    key: [u8; 16],
}

impl CookieHasher {
    /// Creates a hasher from the key that all instances of a deployment share.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    /// Returns the cookie of a target of a service. The cookie is never 0, because 0 marks a packet
    /// without a cookie.
    pub fn cookie(&self, service: &str, target: &str) -> Cookie {
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write(service.as_bytes());
        hasher.write_u8(0);
        hasher.write(target.as_bytes());
        let hash = hasher.finish();
        Cookie::try_from(hash >> 32).unwrap_or_default().max(1)
    }
}
