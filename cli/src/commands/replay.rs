//! `hollyhead replay`: replays a recorded trace and compares it with the expected outcomes.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::Bpaf;
use hollyhead::outcome_bounds::OutcomeBounds;
use hollyhead::replay;
use hollyhead::replay_report::ReplayReport;
use hollyhead::trace_file::{Trace, TraceError};

use super::INVALID_INPUT;

/// Options of `hollyhead replay`.
#[derive(Clone, Debug, Bpaf)]
pub struct Replay {
    /// File with the expected outcomes
    #[bpaf(argument("FILE"))]
    outcomes: PathBuf,
    /// Print the report as JSON
    json: bool,
    /// Recorded trace
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

impl Replay {
    /// Replays the trace and prints the report; fails unless all expected outcomes are met.
    pub fn run(&self) -> Result<ExitCode> {
        let (trace, bounds) = match self.read() {
            Ok(input) => input,
            Err(err) => {
                eprintln!("{err}");
                return Ok(ExitCode::from(INVALID_INPUT));
            }
        };
        let report = run(&trace, bounds)?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{report}");
        }
        Ok(if report.is_held() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn read(&self) -> Result<(Trace, OutcomeBounds), TraceError> {
        Ok((Trace::read(&self.trace)?, OutcomeBounds::read(&self.outcomes)?))
    }
}

fn run(trace: &Trace, bounds: OutcomeBounds) -> Result<ReplayReport> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    Ok(runtime.block_on(replay::replay(trace, bounds)))
}
