//! Load that callers generate: flows of several kinds at a constant rate until the load is stopped.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};
use parking_lot::Mutex;
use testutils::flow_caller::{CallerHost, FlowPlan};
use testutils::flow_message::FlowRequest;
use tokio::task::JoinSet;

use crate::checker::History;

/// Time within which a target must answer a request.
const DEADLINE: Duration = Duration::from_secs(5);
const LONG_FLOW_REQUESTS: u64 = 6;
const LONG_FLOW_PAUSE: Duration = Duration::from_millis(400);
/// Number of addresses at the start of the list whose routes exist for the entire run.
const PERMANENT_SERVICES: usize = 2;
/// One in this many flows uses a route that was added during the run and may have been removed.
const ADDED_ROUTE_ONE_IN: u64 = 8;
const MEAN_WORK_MS: u64 = 20;
const DOWNLOAD_BYTES: u32 = 80_000;
const ANSWER_BYTES: u32 = 4_000;
const UPLOAD_BYTES: u32 = 900;

/// Parameters of a load.
pub struct LoadSetup {
    /// Hosts on which callers run, one in each data centre.
    pub hosts: Vec<Arc<CallerHost>>,
    /// Service addresses that callers use, those of permanent routes first.
    pub services: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// Number of new flows per second; 0 counts as 1.
    pub flows_per_second: u32,
    /// Seed of the random choices of hosts, services and requests.
    pub seed: u64,
    /// History that receives the reports on flows and the number of requests.
    pub history: Arc<Mutex<History>>,
}

/// Load of new flows at a constant rate.
pub struct Load {
    setup: Arc<LoadSetup>,
    next_id: Arc<AtomicU64>,
    is_stopping: Arc<AtomicBool>,
}

impl Load {
    /// Creates a load without starting it.
    pub fn new(setup: LoadSetup) -> Self {
        let next_id = Arc::new(AtomicU64::new(0));
        Self { setup: Arc::new(setup), next_id, is_stopping: Arc::default() }
    }

    /// Stops opening flows; open flows continue to their end.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Opens flows until the load is stopped, then waits for all open flows to end.
    pub async fn run(&self) {
        let random = SeededRandom::new(self.setup.seed);
        let mut interval =
            tokio::time::interval(Duration::from_secs(1) / self.setup.flows_per_second.max(1));
        let mut flows = JoinSet::new();
        while !self.is_stopping.load(Ordering::SeqCst) {
            interval.tick().await;
            let Some((host, plan)) = self.next_flow(&random) else { continue };
            let history = Arc::clone(&self.setup.history);
            flows.spawn(async move {
                let report = host.call(plan).await;
                history.lock().reports.push(report);
            });
            while flows.try_join_next().is_some() {}
        }
        flows.join_all().await;
    }

    fn next_flow(&self, random: &SeededRandom) -> Option<(Arc<CallerHost>, FlowPlan)> {
        let hosts = &self.setup.hosts;
        let host = Arc::clone(hosts.get(random.below(hosts.len() as u64) as usize)?);
        let services = self.setup.services.lock().clone();
        let service = match services.get(PERMANENT_SERVICES..) {
            Some(added) if !added.is_empty() && random.below(ADDED_ROUTE_ONE_IN) == 0 => {
                added[random.below(added.len() as u64) as usize]
            }
            _ => *services.get(random.below(PERMANENT_SERVICES as u64) as usize)?,
        };
        let (count, answer_bytes, body_bytes) = match random.below(4) {
            0 | 1 => (LONG_FLOW_REQUESTS, ANSWER_BYTES, 0),
            2 => (1, ANSWER_BYTES, UPLOAD_BYTES),
            _ => (1, DOWNLOAD_BYTES, 0),
        };
        let requests = (0..count).map(|_| FlowRequest {
            id: self.next_request_id(),
            work_ms: random.below(2 * MEAN_WORK_MS) as u32,
            answer_bytes,
            body_bytes,
        });
        let requests = requests.collect();
        let plan = FlowPlan { service, requests, pause: LONG_FLOW_PAUSE, deadline: DEADLINE };
        Some((host, plan))
    }

    fn next_request_id(&self) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        self.setup.history.lock().requests = id + 1;
        id
    }
}
