//! A steady load of requests from several callers over all request gateways.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use parking_lot::{Mutex, RwLock};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::http_call;

/// Answers by template.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Whole answers of a backend server.
    pub answered: u64,
    /// Refusals that say that the request was not run.
    pub not_run: u64,
    /// Refusals that say that the request may have run.
    pub unknown: u64,
    /// Connections that broke without an answer.
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

/// What one caller of the load asks for.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Service.
    pub service: String,
    /// Bytes that the request carries and its answer repeats.
    pub body_bytes: usize,
    /// Pause between an answer and the next request.
    pub pause: Duration,
}

/// A steady load of requests; dropping it ends it.
pub struct RequestLoad {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl RequestLoad {
    /// Starts `callers` callers that each send one request after the other.
    pub fn start(gateways: Vec<SocketAddr>, template: &RequestTemplate, callers: usize) -> Self {
        let shared = Arc::new(Shared::default());
        *shared.gateways.write() = gateways;
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            tasks.spawn(call_repeatedly(Arc::clone(&shared), template.clone()));
        }
        Self { shared, tasks }
    }

    /// Replaces the request gateways.
    pub fn set_gateways(&self, gateways: Vec<SocketAddr>) {
        *self.shared.gateways.write() = gateways;
    }

    /// Returns the answers since the last call.
    pub fn take_counts(&self) -> AnswerCounts {
        std::mem::take(&mut *self.shared.counts.lock())
    }

    /// Returns the latencies of whole answers since the last call, in ascending order.
    pub fn take_latencies(&self) -> Vec<Duration> {
        let mut latencies = std::mem::take(&mut *self.shared.latencies.lock());
        latencies.sort_unstable();
        latencies
    }

    /// Lets every caller end its request and stops.
    pub async fn stop(mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn call_repeatedly(shared: Arc<Shared>, template: RequestTemplate) {
    while !shared.is_stopped.load(Ordering::SeqCst) {
        let start = Instant::now();
        let answer = call(&shared, &template).await;
        if matches!(answer, Answer::Whole) {
            shared.latencies.lock().push(start.elapsed());
        }
        count(&mut shared.counts.lock(), &answer);
        tokio::time::sleep(template.pause).await;
    }
}

enum Answer {
    Whole,
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
        Ok((200, body)) if is_whole(&body, &id, template.body_bytes) => Answer::Whole,
        Ok((_, body)) if body.windows(9).any(|part| part == b"\"not_run\"") => Answer::NotRun,
        Ok((_, body)) if body.windows(9).any(|part| part == b"\"unknown\"") => Answer::Unknown,
        _ => Answer::Broken,
    }
}

fn is_whole(body: &[u8], id: &str, body_bytes: usize) -> bool {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else { return false };
    answer["id"] == id && answer["body"].as_str().map(str::len) == Some(body_bytes)
}

fn count(counts: &mut AnswerCounts, answer: &Answer) {
    match answer {
        Answer::Whole => counts.answered += 1,
        Answer::NotRun => counts.not_run += 1,
        Answer::Unknown => counts.unknown += 1,
        Answer::Broken => counts.broken += 1,
    }
}
