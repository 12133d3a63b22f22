//! Headers of requests that one instance passes on to another.
//!
//! The code is a BLAKE3 keyed hash under the key that instances share, over everything that the
//! receiver acts on. A caller cannot make the headers up, and a copy of them is of use only for the
//! same request at the same receiver.

use http::request::Parts;
use http::{HeaderMap, HeaderValue};

use crate::envelope::PeerKey;
use crate::fair_queue::CallerId;

/// Header with the name of the instance that passed the request on.
pub const FORWARDED_BY_HEADER: &str = "hollyhead-forwarded-by";
/// Header with the caller of a request that was passed on.
pub const CALLER_HEADER: &str = "hollyhead-caller";
/// Header with the authentication code of a request that was passed on.
pub const FORWARD_CODE_HEADER: &str = "hollyhead-forward-code";
/// Header by which callers make requests repeatable.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Returns a header as text; empty when it is absent.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Marks a request as passed on by `me` for `caller` to `receiver`. Returns `None` when a name is
/// no header value.
pub fn sign(
    parts: &mut Parts,
    key: &PeerKey,
    me: &str,
    receiver: &str,
    caller: &str,
) -> Option<()> {
    let code = code(parts, key, me, receiver, caller);
    let headers = &mut parts.headers;
    headers.insert(FORWARDED_BY_HEADER, HeaderValue::from_str(me).ok()?);
    headers.insert(CALLER_HEADER, HeaderValue::from_str(caller).ok()?);
    headers.insert(FORWARD_CODE_HEADER, HeaderValue::from_str(&code).ok()?);
    Some(())
}

/// Takes the marks of a request off and returns its caller, if an instance passed it on.
pub fn verify(parts: &mut Parts, keys: &[(u8, PeerKey)], me: &str) -> Option<CallerId> {
    let sender = header_text(&parts.headers, FORWARDED_BY_HEADER).to_owned();
    let caller = header_text(&parts.headers, CALLER_HEADER).to_owned();
    let stated = header_text(&parts.headers, FORWARD_CODE_HEADER).to_owned();
    for name in [FORWARDED_BY_HEADER, CALLER_HEADER, FORWARD_CODE_HEADER] {
        parts.headers.remove(name);
    }
    let is_equal = |key: &PeerKey| {
        let expected = code(parts, key, &sender, me, &caller);
        blake3::hash(expected.as_bytes()) == blake3::hash(stated.as_bytes())
    };
    let is_genuine = keys.iter().any(|(_, key)| is_equal(key));
    is_genuine.then(|| CallerId::new(caller))
}

fn code(parts: &Parts, key: &PeerKey, sender: &str, receiver: &str, caller: &str) -> String {
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
