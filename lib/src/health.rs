//! Health endpoints of targets. They lag and mislead: an unhealthy one only keeps a target cold that
//! has no working traffic, and a healthy one changes nothing.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

use crate::kernel::Kernel;
use crate::record::Target;

/// Time between two probes of a target.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a probe is given up.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an answered request outweighs every probe.
pub const TRAFFIC_PRECEDENCE_TIME: Duration = Duration::from_secs(10);

/// What a health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The target says that it works.
    Healthy,
    /// The target says that it does not work, or cannot be reached.
    Unhealthy,
}

/// Reads health endpoints.
#[async_trait]
pub trait HealthProbe: Send + Sync {
    /// Returns what the health endpoint of a target says.
    async fn probe(&self, target: &Target) -> Health;
}

/// Reads health endpoints over HTTP: a success status means healthy.
pub struct HttpHealthProbe {
    path: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpHealthProbe {
    /// Creates a probe of a path, such as `/health`, at the targets' addresses.
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

/// Probes the targets that this instance is the allocator of; never returns.
pub async fn probe_allocated_targets(kernel: Arc<Kernel>, probe: Arc<dyn HealthProbe>) {
    loop {
        for target in kernel.allocated_targets() {
            let health = probe.probe(&target).await;
            kernel.note_health(&target, health, Instant::now());
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
