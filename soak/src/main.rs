//! Runs the fault-injection soak test with one or several seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead_soak::run::{run_soak, RunSetup};
use tokio::signal::unix::{signal, SignalKind};

/// Covers the end of the longest fault and a period in which every request must be answered again.
const COOLDOWN: Duration = Duration::from_secs(20);

/// Run instances as separate processes and inject faults from outside
///
/// Example: hollyhead-soak --seed 1 --count 50
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Program of an instance [default: hollyhead-entry in the folder of this program]
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of runs, each with the next seed
    #[bpaf(argument("N"), fallback(1))]
    count: u64,
    /// Number of instances
    #[bpaf(argument("N"), fallback(6))]
    instances: usize,
    /// Number of targets
    #[bpaf(argument("N"), fallback(12))]
    targets: usize,
    /// New flows per second
    #[bpaf(argument("N"), fallback(40))]
    flows: u32,
    /// Seconds during which faults are injected
    #[bpaf(argument("N"), fallback(20))]
    time: u64,
    /// Mean milliseconds between two injections
    #[bpaf(argument("N"), fallback(1000))]
    gap: u64,
    /// Folder for settings files and logs, with a subfolder for each seed
    #[bpaf(argument("DIR"), fallback(std::env::temp_dir().join("hollyhead-soak")))]
    dir: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match run(&options().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("hollyhead-soak: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<bool> {
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("hollyhead-entry"),
    };
    let mut is_clean = true;
    for seed in options.seed..options.seed + options.count {
        let dir = options.dir.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&dir).with_context(|| format!("creating {}", dir.display()))?;
        let setup = RunSetup {
            program: program.clone(),
            dir: dir.clone(),
            seed,
            instances: options.instances,
            targets: options.targets,
            flows_per_second: options.flows,
            injection_time: Duration::from_secs(options.time),
            mean_interval: Duration::from_millis(options.gap),
            cooldown: COOLDOWN,
        };
        let summary = tokio::select! {
            summary = run_soak(&setup) => summary?,
            result = wait_for_stop_signal() => {
                result?;
                anyhow::bail!("stopped by a signal during the run with seed {seed}");
            }
        };
        println!(
            "seed {seed}: {} faults, {} flows, {} failed, {} without faults, {} violations",
            summary.faults,
            summary.flows,
            summary.failed_flows,
            summary.fault_free_flows,
            summary.violations.len()
        );
        for violation in summary.violations.iter().take(10) {
            println!("  {violation}");
        }
        if !summary.violations.is_empty() {
            println!("  logs: {}", dir.display());
            is_clean = false;
        }
    }
    Ok(is_clean)
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => Ok(result?),
        _ = terminate.recv() => Ok(()),
    }
}
