//! Simulated instances under random schedules of suspensions, crashes, joins and packet loss, on
//! tokio's paused clock: no request with an idempotency key runs twice.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hollyhead::fleet::Fleet;
use hollyhead::kernel::Kernel;
use hollyhead::key_ledger::{key_digest, RETENTION};
use hollyhead::keyed_run::{accept, Accepted};
use hollyhead::memory_network::LinkQuality;
use hollyhead::problem::Problem;
use hollyhead::request_body::full;
use hollyhead::request_route::{route, Route};
use http::{Response, StatusCode};
use parking_lot::Mutex;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use testutils::key_fixture::{context, fleet, head, DATA_CENTRE, SERVICE};
use tokio::time::Instant;

const KEYS: u8 = 3;
const CASES: u32 = 48;
const SEED: [u8; 32] = [5; 32];
const SERVICE_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
enum Op {
    Attempt { instance: usize, key: u8 },
    Wait { millis: u64 },
    Freeze { instance: usize },
    Thaw,
    Kill { instance: usize },
    Join,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4_usize, 0..KEYS).prop_map(|(instance, key)| Op::Attempt { instance, key }),
        4 => (1..80_u64).prop_map(|millis| Op::Wait { millis }),
        3 => (1_000..5_000_u64).prop_map(|millis| Op::Wait { millis }),
        2 => (0..4_usize).prop_map(|instance| Op::Freeze { instance }),
        2 => Just(Op::Thaw),
        1 => (0..4_usize).prop_map(|instance| Op::Kill { instance }),
        1 => Just(Op::Join),
    ]
}

/// Suspends and resumes the tasks of one instance.
#[derive(Default)]
struct Freezer {
    is_frozen: AtomicBool,
    wakers: Mutex<Vec<Waker>>,
}

impl Freezer {
    fn set(&self, is_frozen: bool) {
        self.is_frozen.store(is_frozen, Ordering::SeqCst);
        self.wakers.lock().drain(..).for_each(Waker::wake);
    }
}

struct Freezable<F> {
    inner: Pin<Box<F>>,
    freezer: Arc<Freezer>,
}

impl<F: Future> Future for Freezable<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<F::Output> {
        if self.freezer.is_frozen.load(Ordering::SeqCst) {
            self.freezer.wakers.lock().push(cx.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}

/// Handles a request at one instance as the request gateway does. In place of a backend server,
/// `executions` logs the key of each request that is dispatched.
async fn run(
    kernel: Arc<Kernel>,
    key: String,
    attempt: u32,
    executions: Arc<Mutex<Vec<String>>>,
) -> Result<StatusCode, Problem> {
    let cx = context(&kernel).unwrap();
    let digest = key_digest(SERVICE, key.as_bytes());
    let routed = route(&cx, kernel.id(), Some(&digest), &|_| true, kernel.random().as_ref());
    if routed != Route::Local {
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "owned by another instance"));
    }
    let mut run = match accept(&kernel, &cx, digest, &head(attempt), None)? {
        Accepted::Run(run) => run,
        Accepted::Replay(response) => return Ok(response.status()),
    };
    let dispatched = match run.claim(&cx).await {
        Ok(()) => run.mark_dispatched(),
        Err(problem) => Err(problem),
    };
    if let Err(problem) = dispatched {
        run.finish_refused(&problem);
        return Err(problem);
    }
    executions.lock().push(key);
    tokio::time::sleep(SERVICE_TIME).await;
    let response = run.finish_answered(Response::new(full(Bytes::from_static(b"done"))));
    Ok(response.status())
}

struct Simulation {
    fleet: Fleet,
    freezers: BTreeMap<String, Arc<Freezer>>,
    joined: usize,
    frozen: Option<String>,
    has_killed: bool,
    executions: Arc<Mutex<Vec<String>>>,
}

impl Simulation {
    async fn new(seed: u64) -> Self {
        let fleet = fleet(seed);
        let (freezers, executions) = (BTreeMap::new(), Arc::default());
        let mut simulation =
            Self { fleet, freezers, joined: 0, frozen: None, has_killed: false, executions };
        (0..3).for_each(|_| simulation.join());
        simulation.fleet.run_for(Duration::from_secs(3)).await;
        let quality = LinkQuality {
            jitter: Duration::from_millis(30),
            loss_per_mille: 100,
            duplicates_per_mille: 100,
            ..LinkQuality::default()
        };
        simulation.fleet.network().set_quality(quality);
        simulation
    }

    fn join(&mut self) {
        let name = format!("entry-{}", self.joined);
        self.joined += 1;
        self.fleet.start(&name, DATA_CENTRE);
        self.freezers.insert(name, Arc::default());
    }

    fn name(&self, instance: usize) -> String {
        let names: Vec<_> = self.freezers.keys().collect();
        names[instance % names.len()].clone()
    }

    fn attempt(&self, name: &str, key: u8, attempt: u32) {
        let kernel = Arc::clone(self.fleet.kernel(name).unwrap());
        let freezer = Arc::clone(&self.freezers[name]);
        let executions = Arc::clone(&self.executions);
        let inner = Box::pin(run(kernel, format!("key-{key}"), attempt, executions));
        tokio::spawn(Freezable { inner, freezer });
    }

    async fn apply(&mut self, op: Op) {
        match op {
            Op::Attempt { instance, key } => self.attempt(&self.name(instance), key, 1),
            Op::Wait { millis } => self.fleet.run_for(Duration::from_millis(millis)).await,
            Op::Freeze { instance } if self.frozen.is_none() => {
                let name = self.name(instance);
                self.fleet.freeze(&name);
                self.freezers[&name].set(true);
                self.frozen = Some(name);
            }
            Op::Thaw => {
                if let Some(name) = self.frozen.take() {
                    self.fleet.thaw(&name);
                    self.freezers[&name].set(false);
                }
            }
            Op::Kill { instance } if self.frozen.is_none() && !self.has_killed => {
                let name = self.name(instance);
                self.freezers.remove(&name).unwrap().set(true);
                self.fleet.kill(&name);
                self.has_killed = true;
            }
            Op::Join if self.joined < 5 => self.join(),
            _ => {}
        }
        tokio::task::yield_now().await;
    }

    /// Returns the largest number of executions of one key.
    fn max_executions_per_key(&self) -> usize {
        let executions = self.executions.lock();
        let count = |key| executions.iter().filter(|it| **it == format!("key-{key}")).count();
        (0..KEYS).map(count).max().unwrap_or_default()
    }
}

/// Guards against a request that runs at two owners of its key, because it was dispatched after its
/// claim had become invalid, or because no witness had a record of an earlier run. Each schedule
/// suspends at most one instance at a time and kills at most one.
#[test]
fn mark_dispatched_random_schedules_at_most_once() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let total = std::cell::Cell::new(0);
    let schedules = (any::<u64>(), proptest::collection::vec(op(), 10..60));
    let result = runner.run(&schedules, |(seed, ops)| {
        let builder = &mut tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().unwrap();
        let (max_per_key, ran) = runtime.block_on(async {
            let mut simulation = Simulation::new(seed % 1_000_000).await;
            for op in ops {
                simulation.apply(op).await;
            }
            simulation.apply(Op::Thaw).await;
            simulation.fleet.run_for(Duration::from_secs(5)).await;
            let ran = simulation.executions.lock().len();
            (simulation.max_executions_per_key(), ran)
        });
        total.set(total.get() + ran);
        prop_assert!(max_per_key <= 1);
        Ok(())
    });
    result.unwrap();
    assert!(total.get() > CASES as usize, "only {} requests ran", total.get());
}

/// A key has two records, so the absence of a record proves nothing after two instances have failed
/// within the retention period. An instance that still relied on the absence would run a request a
/// second time.
#[tokio::test(start_paused = true)]
async fn claim_two_lost_marked_repeat_is_unknown() {
    let mut simulation = Simulation::new(1).await;
    simulation.fleet.run_for(RETENTION).await;
    simulation.fleet.network().set_quality(LinkQuality::default());
    simulation.fleet.run_for(Duration::from_secs(5)).await;
    let kernel = Arc::clone(simulation.fleet.kernel("entry-0").unwrap());
    assert!(kernel.keys.has_complete_records(Instant::now()));
    simulation.fleet.kill("entry-1");
    simulation.fleet.run_for(Duration::from_secs(5)).await;
    assert!(kernel.keys.has_complete_records(Instant::now()));
    simulation.fleet.kill("entry-2");
    simulation.fleet.run_for(Duration::from_secs(5)).await;
    assert!(!kernel.keys.has_complete_records(Instant::now()));
}
