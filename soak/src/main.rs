//! Runs the fault soak with one or several seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead_soak::run::{run_soak, RunSetup};
use tokio::signal::unix::{signal, SignalKind};

/// Longest fault and some time in which all is served again.
const COOLDOWN: Duration = Duration::from_secs(20);

/// Runs instances as separate processes and injects faults from outside
///
/// Example: hollyhead-soak --seed 1 --count 50
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Program of an instance; the one beside this program if none is given
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds, one run after the other
    #[bpaf(argument("N"), fallback(1))]
    count: u64,
    /// Instances
    #[bpaf(argument("N"), fallback(6))]
    instances: usize,
    /// Targets
    #[bpaf(argument("N"), fallback(12))]
    targets: usize,
    /// New flows a second
    #[bpaf(argument("N"), fallback(40))]
    flows: u32,
    /// Seconds in which faults begin
    #[bpaf(argument("N"), fallback(20))]
    time: u64,
    /// Mean milliseconds between two faults
    #[bpaf(argument("N"), fallback(1000))]
    gap: u64,
    /// Folder for settings files and logs, one folder in it for each seed
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
        let verdict = tokio::select! {
            verdict = run_soak(&setup) => verdict?,
            result = stopped() => {
                result?;
                anyhow::bail!("stopped at seed {seed}");
            }
        };
        println!(
            "seed {seed}: {} faults, {} flows, {} ended early, {} in quiet times, {} promises broken",
            verdict.faults,
            verdict.flows,
            verdict.lost,
            verdict.judged_quiet,
            verdict.violations.len()
        );
        for violation in verdict.violations.iter().take(10) {
            println!("  {violation}");
        }
        if !verdict.violations.is_empty() {
            println!("  logs: {}", dir.display());
            is_clean = false;
        }
    }
    Ok(is_clean)
}

/// Waits for a signal to stop.
async fn stopped() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => Ok(result?),
        _ = terminate.recv() => Ok(()),
    }
}
