//! Keys under random schedules of freezes, crashes, joins and lossy links, on the paused clock.
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
const RUN_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
enum Op {
    Attempt { node: usize, key: u8 },
    Wait { millis: u64 },
    Freeze { node: usize },
    Thaw,
    Kill { node: usize },
    Join,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4_usize, 0..KEYS).prop_map(|(node, key)| Op::Attempt { node, key }),
        4 => (1..80_u64).prop_map(|millis| Op::Wait { millis }),
        3 => (1_000..5_000_u64).prop_map(|millis| Op::Wait { millis }),
        2 => (0..4_usize).prop_map(|node| Op::Freeze { node }),
        2 => Just(Op::Thaw),
        1 => (0..4_usize).prop_map(|node| Op::Kill { node }),
        1 => Just(Op::Join),
    ]
}

/// Stops the tasks of one instance.
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

/// Runs a request as an owner does; `executions` gets the key when it would run.
async fn run(
    kernel: Arc<Kernel>,
    key: String,
    attempt: u32,
    executions: Arc<Mutex<Vec<String>>>,
) -> Result<StatusCode, Problem> {
    let cx = context(&kernel).unwrap();
    let digest = key_digest(SERVICE, key.as_bytes());
    let here = route(&cx, kernel.id(), Some(&digest), &|_| true, kernel.random().as_ref());
    if here != Route::Here {
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "other owner"));
    }
    let mut run = match accept(&kernel, &cx, digest, &head(attempt), None)? {
        Accepted::Run(run) => run,
        Accepted::Answer(response) => return Ok(response.status()),
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
    tokio::time::sleep(RUN_TIME).await;
    let response = run.finish_answered(Response::new(full(Bytes::from_static(b"done"))));
    Ok(response.status())
}

struct World {
    fleet: Fleet,
    freezers: BTreeMap<String, Arc<Freezer>>,
    joined: usize,
    out: Option<String>,
    has_killed: bool,
    executions: Arc<Mutex<Vec<String>>>,
}

impl World {
    async fn new(seed: u64) -> Self {
        let fleet = fleet(seed);
        let (freezers, executions) = (BTreeMap::new(), Arc::default());
        let mut world =
            Self { fleet, freezers, joined: 0, out: None, has_killed: false, executions };
        (0..3).for_each(|_| world.join());
        world.fleet.run_for(Duration::from_secs(3)).await;
        let quality = LinkQuality {
            jitter: Duration::from_millis(30),
            loss_per_mille: 100,
            duplicates_per_mille: 100,
            ..LinkQuality::default()
        };
        world.fleet.network().set_quality(quality);
        world
    }

    fn join(&mut self) {
        let name = format!("entry-{}", self.joined);
        self.joined += 1;
        self.fleet.start(&name, DATA_CENTRE);
        self.freezers.insert(name, Arc::default());
    }

    fn name(&self, node: usize) -> String {
        let names: Vec<_> = self.freezers.keys().collect();
        names[node % names.len()].clone()
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
            Op::Attempt { node, key } => self.attempt(&self.name(node), key, 1),
            Op::Wait { millis } => self.fleet.run_for(Duration::from_millis(millis)).await,
            Op::Freeze { node } if self.out.is_none() => {
                let name = self.name(node);
                self.fleet.freeze(&name);
                self.freezers[&name].set(true);
                self.out = Some(name);
            }
            Op::Thaw => {
                if let Some(name) = self.out.take() {
                    self.fleet.thaw(&name);
                    self.freezers[&name].set(false);
                }
            }
            Op::Kill { node } if self.out.is_none() && !self.has_killed => {
                let name = self.name(node);
                self.freezers.remove(&name).unwrap().set(true);
                self.fleet.kill(&name);
                self.has_killed = true;
            }
            Op::Join if self.joined < 5 => self.join(),
            _ => {}
        }
        tokio::task::yield_now().await;
    }

    fn most_executions(&self) -> usize {
        let executions = self.executions.lock();
        let count = |key| executions.iter().filter(|it| **it == format!("key-{key}")).count();
        (0..KEYS).map(count).max().unwrap_or_default()
    }
}

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
        let (most, ran) = runtime.block_on(async {
            let mut world = World::new(seed % 1_000_000).await;
            for op in ops {
                world.apply(op).await;
            }
            world.apply(Op::Thaw).await;
            world.fleet.run_for(Duration::from_secs(5)).await;
            let ran = world.executions.lock().len();
            (world.most_executions(), ran)
        });
        total.set(total.get() + ran);
        prop_assert!(most <= 1);
        Ok(())
    });
    result.unwrap();
    assert!(total.get() > CASES as usize, "only {} requests ran", total.get());
}

#[tokio::test(start_paused = true)]
async fn claim_two_lost_marked_repeat_is_unknown() {
    let mut world = World::new(1).await;
    world.fleet.run_for(RETENTION).await;
    world.fleet.network().set_quality(LinkQuality::default());
    world.fleet.run_for(Duration::from_secs(5)).await;
    let kernel = Arc::clone(world.fleet.kernel("entry-0").unwrap());
    assert!(kernel.keys.covers_retention(Instant::now()));
    world.fleet.kill("entry-1");
    world.fleet.run_for(Duration::from_secs(5)).await;
    assert!(kernel.keys.covers_retention(Instant::now()));
    world.fleet.kill("entry-2");
    world.fleet.run_for(Duration::from_secs(5)).await;
    assert!(!kernel.keys.covers_retention(Instant::now()));
}
