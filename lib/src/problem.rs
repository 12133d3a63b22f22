//! Refusals of the request gateway as problem details (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::admission::Refusal;
use crate::request_body::{full, ResponseBody};

/// Header that states the outcome of a request that was not answered by a backend server. A
/// backend server that sends it with `not_run` and status 503 declares that it shed the request.
pub const OUTCOME_HEADER: &str = "hollyhead-outcome";

copy_type! {
    /// What became of a request that was not answered by a backend server.
    pub enum Outcome {
        /// Nothing was ever handed to a backend server: it is safe to repeat the request.
        NotRun,
        /// The request may have run: it is not run again.
        Unknown,
        /// An earlier request with the same idempotency key is still running.
        Running,
        /// An earlier request with the same idempotency key was answered.
        Answered,
    }
}

impl Outcome {
    /// Returns the name of the outcome in answers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Running => "running",
            Outcome::Answered => "answered_before",
        }
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Status of the answer.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub detail: String,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a refusal.
    pub fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self { status, outcome, detail: detail.into(), retry_after: None }
    }

    /// Creates a refusal of a request that was not run.
    pub fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, detail)
    }

    /// Creates the answer to a request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::Unknown, detail)
    }

    /// Creates a refusal of a request that was not run and may come back.
    pub fn retry_later(detail: impl Into<String>, wait: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).retry_after(wait)
    }

    /// Adds when the caller may come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Turns the refusal into an answer.
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
