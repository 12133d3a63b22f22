//! One run: a world, its load, the faults of a seed, and the verdict.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use testutils::flow_caller::CallerHost;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fault_plan::{plan, Shape};
use crate::judge::{History, Violation, RECOVERY};
use crate::load::{Load, LoadSetup};
use crate::world::{Running, World, WorldSize, DATA_CENTRES};

/// Time for instances to become ready at the start.
const START_PATIENCE: Duration = Duration::from_secs(30);
/// Time of load before the first fault.
const CALM_START: Duration = Duration::from_secs(2);
/// Time between two judgements.
const JUDGE_INTERVAL: Duration = Duration::from_secs(5);

/// What a run is made from.
#[derive(Clone, Debug)]
pub struct RunSetup {
    /// Program of an instance.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub dir: PathBuf,
    /// Seed.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Flows a second.
    pub flows_per_second: u32,
    /// Time in which faults begin.
    pub time: Duration,
    /// Mean time between two faults.
    pub gap: Duration,
    /// Time of load after the recovery from the last fault, in which all is served again.
    pub calm_end: Duration,
}

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Flows.
    pub flows: usize,
    /// Flows that ended early.
    pub lost: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Flows in times when nothing unplanned happened.
    pub judged_quiet: usize,
}

/// Plays a run.
///
/// # Errors
///
/// Returns what could not be started.
pub async fn play(setup: &RunSetup) -> Result<Verdict> {
    let (events, mut seen) = mpsc::unbounded_channel();
    let size = WorldSize { instances: setup.instances, targets: setup.targets };
    let running = Running(World::start(&setup.program, &setup.dir, size, events).await?);
    let world = Arc::clone(&running.0);
    let history = Arc::clone(&world.history);
    let collector = {
        let history = Arc::clone(&history);
        tokio::spawn(async move {
            while let Some(event) = seen.recv().await {
                history.lock().events.push(event);
            }
        })
    };
    world.wait_until_ready(START_PATIENCE).await?;
    let load = Arc::new(Load::new(load_setup(setup, &world).await?));
    let opening = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    let faults = inject_all(setup, &world, &history).await;
    load.stop();
    opening.await?;
    collector.abort();
    let history = history.lock();
    Ok(Verdict {
        violations: history.violations(),
        flows: history.reports.len(),
        lost: history.reports.iter().filter(|report| report.error.is_some()).count(),
        faults,
        judged_quiet: history.quiet_flows(),
    })
}

async fn load_setup(setup: &RunSetup, world: &World) -> Result<LoadSetup> {
    let mut hosts = Vec::new();
    for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
        let router = Arc::clone(world.router());
        hosts.push(CallerHost::start(world.caller(index), (*data_centre).into(), router).await?);
    }
    Ok(LoadSetup {
        hosts,
        services: Arc::clone(&world.services),
        flows_per_second: setup.flows_per_second,
        seed: setup.seed,
        history: Arc::clone(&world.history),
    })
}

/// Injects the faults of the seed, and stops early when a promise is broken.
async fn inject_all(setup: &RunSetup, world: &Arc<World>, history: &Mutex<History>) -> usize {
    let shape = Shape {
        instances: setup.instances,
        targets: setup.targets,
        data_centres: DATA_CENTRES.len(),
        time: setup.time,
        gap: setup.gap,
    };
    let mut faults = plan(setup.seed, &shape).into_iter().peekable();
    let begun = Instant::now() + CALM_START;
    let end = begun + setup.time + RECOVERY + setup.calm_end;
    let mut injected = 0;
    let mut next_judgement = begun;
    while Instant::now() < end {
        if let Some((_, fault)) = faults.next_if(|(at, _)| Instant::now() >= begun + *at) {
            world.inject(fault);
            injected += 1;
            continue;
        }
        if Instant::now() >= next_judgement {
            if is_broken(history).await {
                return injected;
            }
            next_judgement = Instant::now() + JUDGE_INTERVAL;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    injected
}

/// Judges a copy on a thread of its own: callers and targets go on meanwhile.
async fn is_broken(history: &Mutex<History>) -> bool {
    let copy = history.lock().clone();
    let judged = tokio::task::spawn_blocking(move || !copy.violations().is_empty()).await;
    judged.unwrap_or_else(|err| panic!("judge failed: {err}"))
}
