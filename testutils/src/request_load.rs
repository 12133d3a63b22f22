//! Load generator: callers that each send one HTTP request after the other to all request gateways
//! in turn.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use parking_lot::{Mutex, RwLock};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::http_call;

/// Number of requests by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that got a complete response from a backend server.
    pub answered: u64,
    /// Requests that were refused with the outcome `not_run`.
    pub not_run: u64,
    /// Requests that got an error with the outcome `unknown`: they may have run.
    pub unknown: u64,
    /// Requests without any of these, such as a failed connection or an incomplete body.
    pub broken: u64,
}

#[derive(Default)]
struct Shared {
    gateways: RwLock<Vec<SocketAddr>>,
    counts: Mutex<AnswerCounts>,
    latencies: Mutex<Vec<Duration>>,
    next: AtomicU64,
    is_stopped: AtomicBool,
}

/// Request that each caller of a load sends again and again.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Name of the service, sent as the `host` header.
    pub service: String,
    /// Length of the request body, which the backend server sends back, in bytes.
    pub body_bytes: usize,
    /// Pause of a caller between a response and its next request.
    pub pause: Duration,
}

/// A running load. Dropping it aborts its callers and their requests.
pub struct RequestLoad {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl RequestLoad {
    /// Starts `callers` concurrent callers, which send requests as `template` says until the load
    /// stops.
    pub fn start(gateways: Vec<SocketAddr>, template: &RequestTemplate, callers: usize) -> Self {
        let shared = Arc::new(Shared::default());
        *shared.gateways.write() = gateways;
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            tasks.spawn(call_repeatedly(Arc::clone(&shared), template.clone()));
        }
        Self { shared, tasks }
    }

    /// Replaces the addresses of the request gateways for all later requests.
    pub fn set_gateways(&self, gateways: Vec<SocketAddr>) {
        *self.shared.gateways.write() = gateways;
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&self) -> AnswerCounts {
        std::mem::take(&mut *self.shared.counts.lock())
    }

    /// Returns the latencies of the complete responses since the last call, in ascending order.
    pub fn take_latencies(&self) -> Vec<Duration> {
        let mut latencies = std::mem::take(&mut *self.shared.latencies.lock());
        latencies.sort_unstable();
        latencies
    }

    /// Stops the load after every caller has finished the request that it is waiting for.
    pub async fn stop(mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn call_repeatedly(shared: Arc<Shared>, template: RequestTemplate) {
    while !shared.is_stopped.load(Ordering::SeqCst) {
        let start = Instant::now();
        let answer = call(&shared, &template).await;
        if matches!(answer, Answer::Complete) {
            shared.latencies.lock().push(start.elapsed());
        }
        count(&mut shared.counts.lock(), &answer);
        tokio::time::sleep(template.pause).await;
    }
}

enum Answer {
    Complete,
    NotRun,
    Unknown,
    Broken,
}

async fn call(shared: &Shared, template: &RequestTemplate) -> Answer {
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    let gateway = {
        let gateways = shared.gateways.read();
        match gateways.get(number as usize % gateways.len().max(1)) {
            Some(gateway) => *gateway,
            None => return Answer::Broken,
        }
    };
    let id = format!("{}-{number}", template.service);
    let headers = [("host", template.service.as_str()), ("x-request-id", id.as_str())];
    let url = format!("http://{gateway}/load");
    let body = vec![b'x'; template.body_bytes];
    match http_call(Method::POST, &url, &headers, body).await {
        Ok((200, body)) if is_complete(&body, &id, template.body_bytes) => Answer::Complete,
        Ok((_, body)) if body.windows(9).any(|part| part == b"\"not_run\"") => Answer::NotRun,
        Ok((_, body)) if body.windows(9).any(|part| part == b"\"unknown\"") => Answer::Unknown,
        _ => Answer::Broken,
    }
}

fn is_complete(body: &[u8], id: &str, body_bytes: usize) -> bool {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else { return false };
    answer["id"] == id && answer["body"].as_str().map(str::len) == Some(body_bytes)
}

fn count(counts: &mut AnswerCounts, answer: &Answer) {
    match answer {
        Answer::Complete => counts.answered += 1,
        Answer::NotRun => counts.not_run += 1,
        Answer::Unknown => counts.unknown += 1,
        Answer::Broken => counts.broken += 1,
    }
}
