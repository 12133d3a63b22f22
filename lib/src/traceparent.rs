//! Adapters between HTTP headers and the W3C Trace Context propagator.

use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector};

/// Extracts the trace context from the headers of a request.
pub struct HeaderExtractor<'a>(pub &'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

/// Injects the trace context into the headers of a request. Names and values that HTTP does not
/// allow are skipped.
pub struct HeaderInjector<'a>(pub &'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}
