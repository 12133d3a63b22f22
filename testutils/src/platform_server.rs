//! HTTP server of the platform's object API, backed by a [`MemoryPlatform`].
//!
//! Besides the API, it serves `PUT /v1/instances` and `PUT /stand-in/faults`, with which tests set
//! the list of instances and inject faults.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollyhead::platform::{ListedInstance, Platform, PlatformError, Precondition};
use http::{header, HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::memory_platform::MemoryPlatform;

/// Body of `PUT /stand-in/faults`: the faults to inject from then on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call fails.
    pub down: bool,
    /// Whether every write takes effect while its response is lost.
    pub lose_answers: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
}

/// Serves the API on a listener. Never returns.
pub async fn serve(platform: Arc<MemoryPlatform>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let platform = Arc::clone(&platform);
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let platform = Arc::clone(&platform);
                async move { Ok::<_, Infallible>(respond(&platform, req).await) }
            });
            let connection = http1::Builder::new();
            if let Err(err) = connection.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("connection to the platform failed: {err}");
            }
        });
    }
}

async fn respond(platform: &MemoryPlatform, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return answer(StatusCode::BAD_REQUEST, &json!({"error": "body truncated"})),
    };
    let path: Vec<_> = head.uri.path().trim_matches('/').split('/').collect();
    let query = head.uri.query().unwrap_or_default();
    let result = match (&head.method, path.as_slice()) {
        (&Method::GET, ["v1", "objects", kind]) => to_value(platform.list(kind).await),
        (&Method::GET, ["v1", "objects", kind, name]) => to_value(platform.get(kind, name).await),
        (&Method::PUT, ["v1", "objects", kind, name]) => {
            put(platform, kind, name, &head.headers, &body).await
        }
        (&Method::DELETE, ["v1", "objects", kind, name]) => {
            delete(platform, kind, name, &head.headers).await
        }
        (&Method::GET, ["v1", "watch"]) => watch(platform, query).await,
        (&Method::GET, ["v1", "instances"]) => to_value(platform.instances().await),
        (&Method::PUT, ["v1", "instances"]) => set_instances(platform, &body),
        (&Method::PUT, ["stand-in", "faults"]) => set_faults(platform, &body),
        _ => return answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
    };
    match result {
        Ok(value) => answer(StatusCode::OK, &value),
        Err(err) => answer(status_of(&err), &json!({"error": err.to_string()})),
    }
}

async fn put(
    platform: &MemoryPlatform,
    kind: &str,
    name: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Value, PlatformError> {
    let body = serde_json::from_slice(body).map_err(invalid_response)?;
    let condition = condition_of(headers)?;
    let version = platform.put(kind, name, body, condition).await?;
    Ok(json!({ "version": version }))
}

async fn delete(
    platform: &MemoryPlatform,
    kind: &str,
    name: &str,
    headers: &HeaderMap,
) -> Result<Value, PlatformError> {
    let Precondition::Version(version) = condition_of(headers)? else {
        return Err(invalid_response("delete needs If-Match"));
    };
    platform.delete(kind, name, version).await?;
    Ok(json!({}))
}

async fn watch(platform: &MemoryPlatform, query: &str) -> Result<Value, PlatformError> {
    let text =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let number = |name: &str| -> Option<u64> { text(name)?.parse().ok() };
    let kinds: Vec<_> = text("kinds").unwrap_or_default().split(',').collect();
    let after = number("after").ok_or_else(|| invalid_response("watch needs after"))?;
    let timeout = Duration::from_millis(number("timeout_ms").unwrap_or_default());
    to_value(platform.watch(&kinds, after, timeout).await)
}

fn set_instances(platform: &MemoryPlatform, body: &[u8]) -> Result<Value, PlatformError> {
    let instances: Vec<ListedInstance> = serde_json::from_slice(body).map_err(invalid_response)?;
    platform.set_instances(instances);
    Ok(json!({}))
}

fn set_faults(platform: &MemoryPlatform, body: &[u8]) -> Result<Value, PlatformError> {
    let faults: Faults = serde_json::from_slice(body).map_err(invalid_response)?;
    platform.set_down(faults.down);
    platform.set_lose_answers(faults.lose_answers);
    platform.set_delay(Duration::from_millis(faults.delay_ms));
    Ok(json!({}))
}

fn condition_of(headers: &HeaderMap) -> Result<Precondition, PlatformError> {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Ok(Precondition::Absent);
    }
    let value = headers.get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let version = value.and_then(|text| text.trim_matches('"').parse().ok());
    version.map(Precondition::Version).ok_or_else(|| invalid_response("write needs a condition"))
}

fn to_value<T: Serialize>(result: Result<T, PlatformError>) -> Result<Value, PlatformError> {
    serde_json::to_value(result?).map_err(invalid_response)
}

fn invalid_response(err: impl std::fmt::Display) -> PlatformError {
    PlatformError::InvalidResponse(err.to_string())
}

fn status_of(err: &PlatformError) -> StatusCode {
    match err {
        PlatformError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        PlatformError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        PlatformError::NotFound { .. } => StatusCode::NOT_FOUND,
        PlatformError::Compacted => StatusCode::GONE,
        PlatformError::InvalidResponse(_) => StatusCode::BAD_REQUEST,
    }
}

pub(crate) fn answer(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}
