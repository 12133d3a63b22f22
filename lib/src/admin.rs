//! HTTP server for the metrics, health checks and status of an instance.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{header, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::cookie_instance::CookieInstance;
use crate::explain::explain;
use crate::kernel::Kernel;

/// Instance whose pages [`serve`] offers at its admin address.
pub trait AdminPages: Send + Sync {
    /// Returns the response to a request with this path and query string.
    fn page(&self, path: &str, query: &str) -> Response<Full<Bytes>>;
}

/// Accepts connections to the admin address and serves `pages` on each; never returns.
pub async fn serve(pages: Arc<dyn AdminPages>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let pages = Arc::clone(&pages);
                tokio::spawn(async move {
                    let service = service_fn(move |req: Request<Incoming>| {
                        let uri = req.uri();
                        let response = pages.page(uri.path(), uri.query().unwrap_or_default());
                        async move { Ok::<_, Infallible>(response) }
                    });
                    let connection = http1::Builder::new();
                    let io = TokioIo::new(stream);
                    if let Err(err) = connection.serve_connection(io, service).await {
                        log::debug!("connection to the admin address failed: {err}");
                    }
                });
            }
            Err(err) => log::warn!("cannot accept a connection to the admin address: {err}"),
        }
    }
}

impl AdminPages for Kernel {
    fn page(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => text(StatusCode::OK, self.metrics.render()),
            "/healthz" => text(StatusCode::OK, "ok\n".into()),
            "/readyz" => readiness(is_ready(self)),
            "/status" => status(self),
            "/ledger" => json(&self.audit.snapshot()),
            "/explain" => explain_flow(self, query),
            _ => text(
                StatusCode::NOT_FOUND,
                "try /metrics, /healthz, /readyz, /status, /ledger or /explain\n".into(),
            ),
        }
    }
}

impl AdminPages for CookieInstance {
    fn page(&self, path: &str, _query: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => text(StatusCode::OK, self.render_metrics(Instant::now())),
            "/healthz" => text(StatusCode::OK, "ok\n".into()),
            "/readyz" => readiness(self.is_ready()),
            "/status" => json(&self.status(Instant::now())),
            "/routing" => match self.routing() {
                Some(routing) => json(&routing),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "no routing document yet\n".into()),
            },
            _ => text(
                StatusCode::NOT_FOUND,
                "try /metrics, /healthz, /readyz, /status or /routing\n".into(),
            ),
        }
    }
}

fn readiness(is_ready: bool) -> Response<Full<Bytes>> {
    if is_ready {
        text(StatusCode::OK, "ready\n".into())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet, or leaving\n".into())
    }
}

/// Returns whether the instance has received a configuration, without which it cannot serve
/// traffic.
pub fn is_ready(kernel: &Kernel) -> bool {
    kernel.config().version() > 0
}

fn status(kernel: &Kernel) -> Response<Full<Bytes>> {
    let plan = kernel.plan();
    let body = json!({
        "instance": kernel.id(),
        "data_centre": kernel.data_centre(),
        "config_version": plan.config.version(),
        "in_force_version": kernel.configs().in_force_version(),
        "complete_version": kernel.configs().complete_version(),
        "config_age_ms": kernel.configs().age(Instant::now()).map(|age| age.as_millis()),
        "refused": plan.config.refused().map(ToString::to_string).collect::<Vec<_>>(),
        "platform_fault": kernel.configs().platform_fault(),
        "flows": kernel.steering.bindings().len(),
        "members": plan.view.members(),
    });
    json(&body)
}

fn explain_flow(kernel: &Kernel, query: &str) -> Response<Full<Bytes>> {
    match query.parse() {
        Ok(flow) => json(&explain(kernel, &flow, Instant::now())),
        Err(err) => text(StatusCode::BAD_REQUEST, format!("{err}\n")),
    }
}

fn json(body: &impl Serialize) -> Response<Full<Bytes>> {
    let body = match serde_json::to_string(body) {
        Ok(body) => body,
        Err(err) => return text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    };
    let mut response = text(StatusCode::OK, body);
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
