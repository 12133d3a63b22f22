//! Authenticated headers of requests that one instance forwards to another.
//!
//! The authentication code is a BLAKE3 keyed hash under the key that the instances share. It covers
//! the sender, the receiver, the caller, and the method, host, path and idempotency key of the
//! request. A caller cannot forge the headers, and a copy of them is valid only for the same
//! request at the same receiver.

use http::request::Parts;
use http::{HeaderMap, HeaderValue};

use crate::envelope::PeerKey;
use crate::fair_queue::CallerId;

/// Header with the name of the instance that forwarded the request.
pub const FORWARDED_BY_HEADER: &str = "hollyhead-forwarded-by";
/// Header with the caller of a forwarded request.
pub const CALLER_HEADER: &str = "hollyhead-caller";
/// Header with the authentication code of a forwarded request, in hexadecimal digits.
pub const FORWARD_CODE_HEADER: &str = "hollyhead-forward-code";
/// Header with the idempotency key, under which a caller can send a request again without running
/// it twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Returns the value of a header, or an empty string if it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Adds the headers of a request that instance `me` forwards to `receiver` for `caller`. Returns
/// `None` if one of the names contains characters that a header value may not have.
pub fn sign(
    parts: &mut Parts,
    key: &PeerKey,
    me: &str,
    receiver: &str,
    caller: &str,
) -> Option<()> {
    let code = authentication_code(parts, key, me, receiver, caller);
    let headers = &mut parts.headers;
    headers.insert(FORWARDED_BY_HEADER, HeaderValue::from_str(me).ok()?);
    headers.insert(CALLER_HEADER, HeaderValue::from_str(caller).ok()?);
    headers.insert(FORWARD_CODE_HEADER, HeaderValue::from_str(&code).ok()?);
    Some(())
}

/// Removes the forwarding headers from a request that instance `me` received. Returns the caller if
/// the headers are authentic under one of `keys`, else `None`.
pub fn verify(parts: &mut Parts, keys: &[(u8, PeerKey)], me: &str) -> Option<CallerId> {
    let sender = header_text(&parts.headers, FORWARDED_BY_HEADER).to_owned();
    let caller = header_text(&parts.headers, CALLER_HEADER).to_owned();
    let received_code = header_text(&parts.headers, FORWARD_CODE_HEADER).to_owned();
    for name in [FORWARDED_BY_HEADER, CALLER_HEADER, FORWARD_CODE_HEADER] {
        parts.headers.remove(name);
    }
    let matches_code = |key: &PeerKey| {
        let expected = authentication_code(parts, key, &sender, me, &caller);
        // Hashes compare in constant time, so that timing reveals nothing about the code.
        blake3::hash(expected.as_bytes()) == blake3::hash(received_code.as_bytes())
    };
    let is_authentic = keys.iter().any(|(_, key)| matches_code(key));
    is_authentic.then(|| CallerId::new(caller))
}

/// Returns the authentication code of a request. Each field is preceded by its length, so that no
/// two lists of fields hash the same bytes.
fn authentication_code(
    parts: &Parts,
    key: &PeerKey,
    sender: &str,
    receiver: &str,
    caller: &str,
) -> String {
    let mut hasher = blake3::Hasher::new_keyed(key);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let idempotency_key = header_text(&parts.headers, IDEMPOTENCY_KEY_HEADER);
    let host = header_text(&parts.headers, "host");
    let method = parts.method.as_str();
    for field in ["forward", sender, receiver, caller, method, host, path, idempotency_key] {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
