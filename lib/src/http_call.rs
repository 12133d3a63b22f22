//! Client of HTTP APIs with JSON bodies, with a time limit for each call.

use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::platform::PlatformError;

/// Largest response body that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time limit for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response to a call, with its whole body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Whole body, at most [`MAX_RESPONSE_BYTES`] long.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the body of the response to a list or watch call.
    ///
    /// # Errors
    ///
    /// Returns the error for the status if it is not a success, or
    /// [`PlatformError::InvalidResponse`] if the body cannot be decoded.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        match self.status {
            StatusCode::OK => decode(&self.body),
            StatusCode::GONE => Err(PlatformError::Compacted),
            status => Err(unexpected_status(status)),
        }
    }

    /// Decodes the body of the response to a call that reads or writes one object.
    ///
    /// # Errors
    ///
    /// Returns the error for the status if it is not a success, or
    /// [`PlatformError::InvalidResponse`] if the body cannot be decoded.
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

    /// Checks the response to the deletion of one object.
    ///
    /// # Errors
    ///
    /// Returns the error for the status if it is not a success.
    pub fn read_deletion(&self, kind: &str, name: &str) -> Result<(), PlatformError> {
        match self.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            status => Err(object_error(status, kind, name)),
        }
    }
}

/// Client of an HTTP API. A connection on which a call timed out is not reused.
pub struct HttpClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client of the API at the base URL `base`, such as `http://10.0.0.1:8080`.
    pub fn new(base: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE_TIMEOUT).build(connector);
        Self { base, client }
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if no complete response arrived within `timeout`, and
    /// [`PlatformError::InvalidResponse`] if `path` or a header is malformed.
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
        let exchange = async {
            let response = self.client.request(req).await.map_err(unavailable)?;
            let (status, headers) = (response.status(), response.headers().clone());
            let limited = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = limited.collect().await.map_err(unavailable)?.to_bytes();
            Ok(HttpResponse { status, headers, body })
        };
        tokio::time::timeout(timeout, exchange).await.map_err(unavailable)?
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(invalid_response)
}

/// Returns the error for the status of a call for one object.
fn object_error(status: StatusCode, kind: &str, name: &str) -> PlatformError {
    let (kind, name) = (kind.into(), name.into());
    match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound { kind, name },
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => {
            PlatformError::Conflict { kind, name }
        }
        status => unexpected_status(status),
    }
}

/// Returns the error for a status other than those that the API defines. Server errors and rate
/// limiting count as unavailability.
fn unexpected_status(status: StatusCode) -> PlatformError {
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        PlatformError::Unavailable(status.to_string())
    } else {
        PlatformError::InvalidResponse(format!("unexpected status {status}"))
    }
}

/// Creates a [`PlatformError::Unavailable`] from a connection error or a timeout.
fn unavailable(err: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(err.to_string())
}

/// Creates a [`PlatformError::InvalidResponse`] from an error of encoding or decoding.
pub fn invalid_response(err: impl std::fmt::Display) -> PlatformError {
    PlatformError::InvalidResponse(err.to_string())
}
