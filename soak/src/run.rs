//! Runs the soak test with one seed: starts a testbed and its load, injects faults and checks the
//! guarantees.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use testutils::flow_caller::CallerHost;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::checker::{History, Violation, RECOVERY_TIME};
use crate::fault_plan::{plan, PlanParameters};
use crate::load::{Load, LoadSetup};
use crate::testbed::{Testbed, TestbedGuard, TestbedSize, DATA_CENTRES};

/// Time within which all instances must become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time under load before the first fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time between two checks of the guarantees.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunSetup {
    /// Executable of an instance.
    pub program: PathBuf,
    /// Existing folder for settings files and logs.
    pub dir: PathBuf,
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Number of instances, at least 1.
    pub instances: usize,
    /// Number of targets, at least 1.
    pub targets: usize,
    /// Number of new flows per second.
    pub flows_per_second: u32,
    /// Period in which faults are injected.
    pub injection_time: Duration,
    /// Mean time between two injections, each of one or several faults.
    pub mean_interval: Duration,
    /// Time under load after [`RECOVERY_TIME`], which follows the injection period.
    pub cooldown: Duration,
}

/// Summary of a run.
#[derive(Clone, Debug)]
pub struct RunSummary {
    /// Violations of guarantees; empty if the run passed.
    pub violations: Vec<Violation>,
    /// Number of flows that callers opened or tried to open.
    pub flows: usize,
    /// Number of flows that failed.
    pub failed_flows: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of flows that began and ended in periods without faults.
    pub fault_free_flows: usize,
}

/// Runs the soak test with one seed.
///
/// # Errors
///
/// Returns an error if a part of the testbed cannot be started or the instances do not become ready
/// within 30 s.
///
/// # Panics
///
/// Panics if the check of the guarantees panics.
pub async fn run_soak(setup: &RunSetup) -> Result<RunSummary> {
    let (event_tx, mut event_rx) = mpsc::unbounded_channel();
    let size = TestbedSize { instances: setup.instances, targets: setup.targets };
    let guard = TestbedGuard(Testbed::start(&setup.program, &setup.dir, size, event_tx).await?);
    let testbed = Arc::clone(&guard.0);
    let history = Arc::clone(&testbed.history);
    let collector = {
        let history = Arc::clone(&history);
        tokio::spawn(async move {
            while let Some(event) = event_rx.recv().await {
                history.lock().events.push(event);
            }
        })
    };
    testbed.wait_until_ready(START_TIMEOUT).await?;
    let load = Arc::new(Load::new(load_setup(setup, &testbed).await?));
    let load_task = tokio::spawn({
        let load = Arc::clone(&load);
        async move { load.run().await }
    });
    let faults = inject_all(setup, &testbed, &history).await;
    load.stop();
    load_task.await?;
    collector.abort();
    let history = history.lock();
    Ok(RunSummary {
        violations: history.violations(),
        flows: history.reports.len(),
        failed_flows: history.reports.iter().filter(|report| report.error.is_some()).count(),
        faults,
        fault_free_flows: history.fault_free_flows(),
    })
}

async fn load_setup(setup: &RunSetup, testbed: &Testbed) -> Result<LoadSetup> {
    let mut hosts = Vec::new();
    for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
        let router = Arc::clone(testbed.router());
        hosts.push(CallerHost::start(testbed.caller(index), (*data_centre).into(), router).await?);
    }
    Ok(LoadSetup {
        hosts,
        services: Arc::clone(&testbed.services),
        flows_per_second: setup.flows_per_second,
        seed: setup.seed,
        history: Arc::clone(&testbed.history),
    })
}

/// Injects the planned faults and returns their number. Ends early if a guarantee is violated.
async fn inject_all(setup: &RunSetup, testbed: &Arc<Testbed>, history: &Mutex<History>) -> usize {
    let parameters = PlanParameters {
        instances: setup.instances,
        targets: setup.targets,
        data_centres: DATA_CENTRES.len(),
        injection_time: setup.injection_time,
        mean_interval: setup.mean_interval,
    };
    let mut faults = plan(setup.seed, &parameters).into_iter().peekable();
    let injection_start = Instant::now() + WARM_UP;
    let end = injection_start + setup.injection_time + RECOVERY_TIME + setup.cooldown;
    let mut injected = 0;
    let mut next_check = injection_start;
    while Instant::now() < end {
        if let Some((_, fault)) = faults.next_if(|(at, _)| Instant::now() >= injection_start + *at)
        {
            testbed.inject(fault);
            injected += 1;
            continue;
        }
        if Instant::now() >= next_check {
            if has_violation(history).await {
                return injected;
            }
            next_check = Instant::now() + CHECK_INTERVAL;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    injected
}

/// Returns whether a guarantee is violated.
///
/// Checks a copy of the history on a blocking thread, so that callers and targets are not held up.
async fn has_violation(history: &Mutex<History>) -> bool {
    let copy = history.lock().clone();
    let result = tokio::task::spawn_blocking(move || !copy.violations().is_empty()).await;
    result.unwrap_or_else(|err| panic!("check of the guarantees failed: {err}"))
}
