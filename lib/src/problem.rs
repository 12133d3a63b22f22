//! Error responses of the request gateway, as problem details (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::admission::Refusal;
use crate::request_body::{full, ResponseBody};

/// Response header with the outcome of a request that got no response from a backend server. A
/// backend server that sends it with `not_run` and status 503 states that it shed the request.
pub const OUTCOME_HEADER: &str = "hollyhead-outcome";

copy_type! {
    /// Outcome of a request that got no response from a backend server.
    pub enum Outcome {
        /// The request certainly has not run: it is safe to send it again.
        NotRun,
        /// The request may have run, and the gateway does not run it again.
        Unknown,
        /// An earlier request with the same idempotency key is still running.
        Running,
        /// An earlier request with the same idempotency key got a response.
        Answered,
    }
}

impl Outcome {
    /// Returns the name of the outcome in responses and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Running => "running",
            Outcome::Answered => "answered_before",
        }
    }
}

/// An error response of the gateway itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Status of the response.
    pub status: StatusCode,
    /// Whether the request has run or may have run.
    pub outcome: Outcome,
    /// Explanation of this occurrence, in a sentence for the caller.
    pub detail: String,
    /// Delay after which the caller may retry; `None` if no delay is advised.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem without a retry delay.
    pub fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self { status, outcome, detail: detail.into(), retry_after: None }
    }

    /// Creates the response to a request that has not run.
    pub fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, detail)
    }

    /// Creates the response to a request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::Unknown, detail)
    }

    /// Creates the 503 response to a request that has not run and may be retried after `wait`.
    pub fn retry_later(detail: impl Into<String>, wait: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).retry_after(wait)
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Converts the problem into a response. Its `retry-after` header rounds the delay up to whole
    /// seconds, at least one; the `retry_after_ms` member holds it in milliseconds.
    pub fn into_response(self) -> Response<ResponseBody> {
        let title = self.status.canonical_reason().unwrap_or("refused");
        let retry_after_ms = self.retry_after.map(|wait| wait.as_millis() as u64);
        let body = json!({
            "type": "about:blank",
            "title": title,
            "status": self.status.as_u16(),
            "detail": self.detail,
            "outcome": self.outcome.name(),
            "retry_after_ms": retry_after_ms,
        });
        let mut response = Response::new(full(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let media_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, media_type);
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.name()));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::retry_later(refusal.reason.to_string(), refusal.retry_after)
    }
}
