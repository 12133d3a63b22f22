//! Calls of an HTTP API with JSON bodies, each within a time limit.

use std::time::Duration;

use bytes::Bytes;
use http::{header, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::platform::PlatformError;

/// Largest answer that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time for a connection to come about.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response to a call.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Reads the body of a call that concerns no single object.
    ///
    /// # Errors
    ///
    /// Returns the failure that the status stands for, or [`PlatformError::InvalidResponse`].
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        match self.status {
            StatusCode::OK => decode(&self.body),
            StatusCode::GONE => Err(PlatformError::Compacted),
            status => Err(unexpected(status)),
        }
    }

    /// Reads the body of a call that reads or writes one object.
    ///
    /// # Errors
    ///
    /// Returns the failure that the status stands for, or [`PlatformError::InvalidResponse`].
    pub fn read_object<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<T, PlatformError> {
        match self.status {
            StatusCode::OK | StatusCode::CREATED => decode(&self.body),
            status => Err(object_error(status, kind, name)),
        }
    }

    /// Reads the answer to the removal of one object.
    ///
    /// # Errors
    ///
    /// Returns the failure that the status stands for.
    pub fn read_deletion(&self, kind: &str, name: &str) -> Result<(), PlatformError> {
        match self.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            status => Err(object_error(status, kind, name)),
        }
    }
}

/// Caller of an HTTP API. A connection on which a call ran out of time is not used again.
pub struct HttpClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a caller of the API below `base`, such as `http://10.0.0.1:8080`.
    pub fn new(base: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE_TIMEOUT).build(connector);
        Self { base, client }
    }

    /// Makes a call and returns its answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] when no whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(header::HeaderName, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let uri: Uri = format!("{}{path}", self.base).parse().map_err(invalid_response)?;
        let mut builder = Request::builder().method(method).uri(uri);
        builder = builder.header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(name, value);
        }
        let req = builder.body(Full::new(body)).map_err(invalid_response)?;
        let answer = async {
            let response = self.client.request(req).await.map_err(unavailable)?;
            let status = response.status();
            let limited = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = limited.collect().await.map_err(unavailable)?.to_bytes();
            Ok(HttpResponse { status, body })
        };
        tokio::time::timeout(timeout, answer).await.map_err(unavailable)?
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(invalid_response)
}

/// Returns the failure of a call for one object that a status stands for.
fn object_error(status: StatusCode, kind: &str, name: &str) -> PlatformError {
    let (kind, name) = (kind.into(), name.into());
    match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound { kind, name },
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => {
            PlatformError::Conflict { kind, name }
        }
        status => unexpected(status),
    }
}

/// Returns the failure that an unexpected status stands for.
fn unexpected(status: StatusCode) -> PlatformError {
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        PlatformError::Unavailable(status.to_string())
    } else {
        PlatformError::InvalidResponse(format!("unexpected status {status}"))
    }
}

/// Turns a failure into one of the platform that is not reached.
fn unavailable(err: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(err.to_string())
}

/// Turns a failure into one of an answer that makes no sense.
pub fn invalid_response(err: impl std::fmt::Display) -> PlatformError {
    PlatformError::InvalidResponse(err.to_string())
}
