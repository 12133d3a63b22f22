//! Probes of the targets' health endpoints.
//!
//! A health endpoint may lag behind the state of its target or contradict it, so traffic takes
//! precedence: an unhealthy result only keeps a target cold that has answered no request lately,
//! and a healthy result changes nothing.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::record::Target;

/// Time after which a probe without a response counts as unhealthy.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after an answered request in which probe results for the target are ignored.
pub const TRAFFIC_PRECEDENCE_TIME: Duration = Duration::from_secs(10);

/// Result of a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The endpoint reports that the target works.
    Healthy,
    /// The endpoint reports that the target does not work, or cannot be reached.
    Unhealthy,
}

/// Queries the health endpoints of targets.
#[async_trait]
pub trait HealthProbe: Send + Sync {
    /// Queries the health endpoint of a target.
    async fn probe(&self, target: &Target) -> Health;
}

/// Queries health endpoints over HTTP. A 2xx status means healthy; any other status, an error or a
/// timeout means unhealthy.
pub struct HttpHealthProbe {
    path: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpHealthProbe {
    /// Creates a probe that requests `path`, such as `/health`, at each target's address.
    pub fn new(path: impl Into<String>) -> Self {
        Self { path: path.into(), client: Client::builder(TokioExecutor::new()).build_http() }
    }
}

#[async_trait]
impl HealthProbe for HttpHealthProbe {
    async fn probe(&self, target: &Target) -> Health {
        let uri = format!("http://{}{}", target.address, self.path);
        let Ok(req) = Request::get(uri).body(Empty::new()) else { return Health::Unhealthy };
        let outcome = tokio::time::timeout(PROBE_TIMEOUT, self.client.request(req)).await;
        match outcome {
            Ok(Ok(response)) if response.status().is_success() => Health::Healthy,
            _ => Health::Unhealthy,
        }
    }
}
