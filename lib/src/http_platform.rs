//! Client of the platform's object API over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{header, Method};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::http_call::{HttpClient, HttpResponse};
use crate::ids::Version;
use crate::platform::{ListedInstance, Listing, Object, Platform, PlatformError, Precondition};
use crate::plugin::PlatformPlugin;

/// Time limit for a call other than a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a watch call may take beyond the timeout that it requests from the platform.
pub const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Client of the platform's object API over HTTP.
pub struct HttpPlatform {
    client: HttpClient,
}

inventory::submit! {
    PlatformPlugin {
        name: "http",
        create: |url| std::sync::Arc::new(HttpPlatform::new(url)),
        decode_routing: crate::routing_document::decode,
    }
}

#[derive(Deserialize)]
struct PutResponse {
    version: Version,
}

impl HttpPlatform {
    /// Creates a client of the API at the base URL `base`, such as `http://10.0.0.1:8080`.
    pub fn new(base: impl Into<String>) -> Self {
        Self { client: HttpClient::new(base) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        condition: Option<Precondition>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let condition = match condition {
            Some(Precondition::Absent) => vec![(header::IF_NONE_MATCH, "*".to_owned())],
            Some(Precondition::Version(version)) => {
                vec![(header::IF_MATCH, format!("\"{version}\""))]
            }
            None => Vec::new(),
        };
        self.client.call(method, path, &condition, body, timeout).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        self.call(Method::GET, path, None, Bytes::new(), timeout).await?.read()
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.read(&format!("/v1/objects/{kind}"), CALL_TIMEOUT).await
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let response = self.call(Method::GET, &path, None, Bytes::new(), CALL_TIMEOUT).await?;
        response.read_object(kind, name)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: Value,
        condition: Precondition,
    ) -> Result<Version, PlatformError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let body = Bytes::from(body.to_string());
        let response = self.call(Method::PUT, &path, Some(condition), body, CALL_TIMEOUT).await?;
        Ok(response.read_object::<PutResponse>(kind, name)?.version)
    }

    async fn delete(&self, kind: &str, name: &str, version: Version) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let condition = Some(Precondition::Version(version));
        let response =
            self.call(Method::DELETE, &path, condition, Bytes::new(), CALL_TIMEOUT).await?;
        response.read_deletion(kind, name)
    }

    async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        let (kinds, millis) = (kinds.join(","), timeout.as_millis());
        let path = format!("/v1/watch?kinds={kinds}&after={after}&timeout_ms={millis}");
        self.read(&path, timeout + WATCH_SLACK).await
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.read("/v1/instances", CALL_TIMEOUT).await
    }
}
