//! Client of the admin address of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use thiserror::Error;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a request to the admin address of an instance failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdminError {
    /// The instance did not respond in time, the connection failed, or the response cannot be parsed.
    #[error("{admin} gave no answer: {reason}; is it the [listen] admin address of an instance?")]
    NoResponse {
        /// Admin address that the request went to.
        admin: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The instance responded with a status other than 200.
    #[error("{admin} answered {status}: {text}")]
    Refused {
        /// Admin address that the request went to.
        admin: SocketAddr,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response, with invalid UTF-8 replaced.
        text: String,
    },
}

/// Requests a path from the admin address of an instance and returns the parsed JSON response.
///
/// # Errors
///
/// Returns [`AdminError::NoResponse`] when the instance cannot be reached, does not respond within
/// 5 s or sends invalid JSON, and [`AdminError::Refused`] when the status is not 200.
pub async fn get<T: DeserializeOwned>(admin: SocketAddr, path: &str) -> Result<T, AdminError> {
    let no_response = |reason: String| AdminError::NoResponse { admin, reason };
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, fetch(admin, path)).await;
    let response =
        response.map_err(|_| no_response(format!("no response within {RESPONSE_TIMEOUT:?}")))?;
    let (status, body) = response.map_err(no_response)?;
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&body).trim().to_owned();
        return Err(AdminError::Refused { admin, status, text });
    }
    serde_json::from_slice(&body).map_err(|err| no_response(err.to_string()))
}

async fn fetch(admin: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), String> {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{admin}{path}").parse().map_err(|err| format!("{err}"))?;
    let response = client.get(uri).await.map_err(|err| err.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|err| err.to_string())?;
    Ok((status, body.to_bytes()))
}
