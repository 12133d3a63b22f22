//! The callers' load: flows of several kinds at a steady rate, until they are told to stop.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};
use parking_lot::Mutex;
use testutils::flow_caller::{CallerHost, FlowPlan};
use testutils::flow_message::FlowRequest;
use tokio::task::JoinSet;

use crate::judge::History;

const DEADLINE: Duration = Duration::from_secs(5);
const LONG_FLOW_REQUESTS: u64 = 6;
const LONG_FLOW_PAUSE: Duration = Duration::from_millis(400);
/// Addresses whose routes stay for the whole run; they come first.
const LASTING_SERVICES: usize = 2;
/// One in this many flows goes to a route that was added, and perhaps dropped again.
const EXTRA_SHARE: u64 = 8;
const WORK_MS: u64 = 20;
const DOWNLOAD_BYTES: u32 = 80_000;
const ANSWER_BYTES: u32 = 4_000;
const UPLOAD_BYTES: u32 = 900;

/// What the load is made from.
pub struct LoadSetup {
    /// Hosts of callers, one in each data centre.
    pub hosts: Vec<Arc<CallerHost>>,
    /// Addresses that callers use.
    pub services: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// Flows a second.
    pub flows_per_second: u32,
    /// Seed of the choices.
    pub seed: u64,
    /// Where reports go.
    pub history: Arc<Mutex<History>>,
}

/// A running load.
pub struct Load {
    setup: Arc<LoadSetup>,
    next_id: Arc<AtomicU64>,
    is_stopping: Arc<AtomicBool>,
}

impl Load {
    /// Prepares a load.
    pub fn new(setup: LoadSetup) -> Self {
        let next_id = Arc::new(AtomicU64::new(0));
        Self { setup: Arc::new(setup), next_id, is_stopping: Arc::default() }
    }

    /// Opens no more flows.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Opens flows until it is stopped, and waits for the last one.
    pub async fn run(&self) {
        let random = SeededRandom::new(self.setup.seed);
        let mut interval =
            tokio::time::interval(Duration::from_secs(1) / self.setup.flows_per_second.max(1));
        let mut flows = JoinSet::new();
        while !self.is_stopping.load(Ordering::SeqCst) {
            interval.tick().await;
            let Some((host, plan)) = self.draw(&random) else { continue };
            let history = Arc::clone(&self.setup.history);
            flows.spawn(async move {
                let report = host.call(plan).await;
                history.lock().reports.push(report);
            });
            while flows.try_join_next().is_some() {}
        }
        flows.join_all().await;
    }

    fn draw(&self, random: &SeededRandom) -> Option<(Arc<CallerHost>, FlowPlan)> {
        let hosts = &self.setup.hosts;
        let host = Arc::clone(hosts.get(random.below(hosts.len() as u64) as usize)?);
        let services = self.setup.services.lock().clone();
        let service = match services.get(LASTING_SERVICES..) {
            Some(extra) if !extra.is_empty() && random.below(EXTRA_SHARE) == 0 => {
                extra[random.below(extra.len() as u64) as usize]
            }
            _ => *services.get(random.below(LASTING_SERVICES as u64) as usize)?,
        };
        let (count, answer_bytes, body_bytes) = match random.below(4) {
            0 | 1 => (LONG_FLOW_REQUESTS, ANSWER_BYTES, 0),
            2 => (1, ANSWER_BYTES, UPLOAD_BYTES),
            _ => (1, DOWNLOAD_BYTES, 0),
        };
        let requests = (0..count).map(|_| FlowRequest {
            id: self.take_id(),
            work_ms: random.below(2 * WORK_MS) as u32,
            answer_bytes,
            body_bytes,
        });
        let requests = requests.collect();
        let plan = FlowPlan { service, requests, pause: LONG_FLOW_PAUSE, deadline: DEADLINE };
        Some((host, plan))
    }

    fn take_id(&self) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        self.setup.history.lock().requests = id + 1;
        id
    }
}
