//! Commands of the command line tool, one module each.

mod apply;
mod check;
mod check_routing;
mod dev;
mod drain;
mod edit;
mod explain;
mod get;
mod replay;
mod report;
mod restore;
mod settings;
mod status;

use std::future::Future;
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::Bpaf;

/// Operates hollyhead, a layer-4 load balancer
///
/// Exit codes: 0 success, 1 failure, 2 invalid input.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Check settings files
    ///
    /// Example: hollyhead check entry.ini
    #[bpaf(command)]
    Check(#[bpaf(external(check::check))] check::Check),
    /// Check a routing document before it is sent, and compare it with the one in force
    #[bpaf(
        command("check-routing"),
        footer("Example: hollyhead check-routing routing.json --in-force 127.0.0.1:9100")
    )]
    CheckRouting(#[bpaf(external(check_routing::check_routing))] check_routing::CheckRouting),
    /// Run a small deployment in one process, with a simulated platform and targets, and light traffic
    ///
    /// Example: hollyhead dev --instances 3
    #[bpaf(command)]
    Dev(#[bpaf(external(dev::dev))] dev::Dev),
    /// Print the reference of all settings
    ///
    /// Example: hollyhead settings
    #[bpaf(command)]
    Settings,
    /// Explain which target a flow goes to, and why
    ///
    /// Example: hollyhead explain --flow tcp,192.0.2.1:40000,10.0.0.1:7000 --admin 127.0.0.1:9100
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    /// Report the traffic of each service by caller and target
    ///
    /// Example: hollyhead report --admin 127.0.0.1:9100 --admin 127.0.0.1:9101
    #[bpaf(command)]
    Report(#[bpaf(external(report::report))] report::Report),
    /// Replay a recorded trace and compare it with the expected outcomes
    ///
    /// Example: hollyhead replay traces/archive-departure.jsonl --outcomes FILE
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::replay))] replay::Replay),
    /// Declare records: services, targets and data centres
    ///
    /// Fields that a declaration does not name keep their values; null removes a field.
    #[bpaf(
        command,
        footer("Example: hollyhead apply --platform http://10.0.0.1:8080 -f fleet.json --dry-run")
    )]
    Apply(#[bpaf(external(apply::apply))] apply::Apply),
    /// Show records
    #[bpaf(
        command,
        footer("Example: hollyhead get --platform http://10.0.0.1:8080 target quaydesk-1")
    )]
    Get(#[bpaf(external(get::get))] get::Get),
    /// Change fields of a record
    #[bpaf(command, footer("Example: hollyhead edit --platform http://10.0.0.1:8080 service quaydesk precedence=live"))]
    Edit(#[bpaf(external(edit::edit))] edit::Edit),
    /// Show which configuration is in force at every instance
    #[bpaf(command, footer("Example: hollyhead status --platform http://10.0.0.1:8080 --wait 42"))]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Take a target or a data centre out
    #[bpaf(
        command,
        footer("Example: hollyhead drain --platform http://10.0.0.1:8080 data-centre gnr-gift")
    )]
    Drain(#[bpaf(external(drain::drain))] drain::Drain),
    /// Return a target or a data centre to service
    #[bpaf(
        command,
        footer("Example: hollyhead restore --platform http://10.0.0.1:8080 data-centre gnr-gift")
    )]
    Restore(#[bpaf(external(restore::restore))] restore::Restore),
}

/// Exit code of a command that was given invalid input.
pub const INVALID_INPUT: u8 = 2;

/// Runs a command and returns the exit code of the process.
///
/// # Errors
///
/// Returns an error when the command fails; invalid input gives [`INVALID_INPUT`] as the exit code
/// instead.
pub fn run(command: &Command) -> Result<ExitCode> {
    match command {
        Command::Check(check) => check.run(),
        Command::CheckRouting(check) => block_on(check.run()),
        Command::Dev(dev) => dev.run(),
        Command::Settings => settings::run(),
        Command::Explain(explain) => block_on(explain.run()),
        Command::Report(report) => block_on(report.run()),
        Command::Replay(replay) => replay.run(),
        Command::Apply(apply) => block_on(apply.run()),
        Command::Get(get) => block_on(get.run()),
        Command::Edit(edit) => block_on(edit.run()),
        Command::Status(status) => block_on(status.run()),
        Command::Drain(drain) => block_on(drain.run()),
        Command::Restore(restore) => block_on(restore.run()),
    }
}

fn block_on(command: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the async runtime")?;
    runtime.block_on(command)
}
