//! `hollyhead check-routing`: checks a routing document before the operator sends it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use bpaf::Bpaf;
use hollyhead::admin_client;
use hollyhead::json_position::{JsonPosition, JsonPositions};
use hollyhead::plugin;
use hollyhead::route::Routing;
use hollyhead::routing_check::{self, Finding, Severity};
use hollyhead::routing_diff::RoutingDiff;
use hollyhead::routing_document::{
    RoutingDecoder, RoutingEntry, LIMITS_FIELD, ROUTES_FIELD, SERVICES_FIELD, VERSION_FIELD,
};
// Links the crate, which registers plug-ins.
use hollyhead_platform as _;
use serde::Serialize;
use tokio::time::Instant;

use super::INVALID_INPUT;

/// Path of the admin page with the routing in force.
const ROUTING_PAGE: &str = "/routing";

/// Exit codes: 0 nothing found, 1 findings, 2 a document cannot be read.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckRouting {
    /// Plug-in whose format the documents have, as [platform] api in the settings of the instances
    #[bpaf(argument("NAME"), fallback("http".into()), display_fallback)]
    api: String,
    #[bpaf(external, optional)]
    reference: Option<Reference>,
    /// Print the result as JSON
    json: bool,
    /// Routing document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Document that the checked one is compared with.
#[derive(Clone, Debug, Bpaf)]
enum Reference {
    Against {
        /// Compare with the document in this file
        #[bpaf(argument("FILE"))]
        against: PathBuf,
    },
    InForce {
        /// Compare with the routing in force at the instance that has this admin address
        #[bpaf(argument("ADDRESS"))]
        in_force: SocketAddr,
    },
}

#[derive(Serialize)]
struct Report {
    file: PathBuf,
    findings: Vec<ReportedFinding>,
    difference: Option<RoutingDiff>,
}

#[derive(Serialize)]
struct ReportedFinding {
    severity: Severity,
    entry: String,
    message: String,
    position: Option<JsonPosition>,
}

impl CheckRouting {
    /// Prints the findings and the differences.
    pub async fn run(&self) -> Result<ExitCode> {
        match self.report().await {
            Ok(report) => {
                self.print(&report)?;
                let is_clean = report.findings.is_empty();
                Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
            }
            Err(err) => {
                eprintln!("hollyhead: {err:#}");
                Ok(ExitCode::from(INVALID_INPUT))
            }
        }
    }

    async fn report(&self) -> Result<Report> {
        let decode = plugin::routing_decoder(&self.api)?;
        let text = read(&self.file)?;
        let (mut findings, routing) = check(&self.file, &text, decode)?;
        let reference = self.reference(decode).await?;
        let difference = routing.zip(reference);
        let difference = difference.map(|(document, old)| RoutingDiff::new(&old, &document));
        findings.extend(difference.as_ref().and_then(RoutingDiff::finding));
        let findings = reported(&findings, &JsonPositions::new(&text));
        Ok(Report { file: self.file.clone(), findings, difference })
    }

    async fn reference(&self, decode: RoutingDecoder) -> Result<Option<Routing>> {
        match &self.reference {
            None => Ok(None),
            Some(Reference::Against { against }) => {
                let (findings, routing) = check(against, &read(against)?, decode)?;
                match (routing, findings.first()) {
                    (None, Some(Finding { entry, problem, .. })) => {
                        bail!("{}: {entry}: {problem}", against.display())
                    }
                    (routing, _) => Ok(routing),
                }
            }
            Some(Reference::InForce { in_force }) => {
                let routing = admin_client::get(*in_force, ROUTING_PAGE).await;
                Ok(Some(routing.context("cannot read the routing in force")?))
            }
        }
    }

    fn print(&self, report: &Report) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(report)?);
            return Ok(());
        }
        if report.findings.is_empty() {
            println!("{}: no findings", report.file.display());
        }
        print_findings(report);
        if let Some(difference) = &report.difference {
            print_difference(difference);
        }
        Ok(())
    }
}

/// Prints the findings, each entry quoted once, after its last finding.
fn print_findings(report: &Report) {
    let file = report.file.display();
    let mut findings = report.findings.iter().peekable();
    while let Some(ReportedFinding { severity, entry, message, position }) = findings.next() {
        let Some(JsonPosition { line, column, quote }) = position else {
            println!("{file}: {severity}: {entry}: {message}");
            continue;
        };
        println!("{file}:{line}:{column}: {severity}: {entry}: {message}");
        if findings.peek().is_none_or(|next| next.position != *position) {
            println!("    {quote}");
        }
    }
}

fn print_difference(difference: &RoutingDiff) {
    let RoutingDiff { version_in_force, version, differences, .. } = difference;
    match differences.len() {
        0 => println!("version {version} has the same contents as version {version_in_force}"),
        1 => println!("1 difference of version {version} to version {version_in_force}:"),
        count => {
            println!("{count} differences of version {version} to version {version_in_force}:");
        }
    }
    for difference in differences {
        println!("  {difference}");
    }
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

/// Returns the findings on a document, and its routing unless instances refuse it.
fn check(
    file: &Path,
    text: &str,
    decode: RoutingDecoder,
) -> Result<(Vec<Finding>, Option<Routing>)> {
    let document = serde_json::from_str(text).map_err(|err| json_error(file, &err))?;
    Ok(routing_check::check_document(&document, decode, Instant::now()))
}

/// Returns an error with the place at which a file is no valid JSON.
fn json_error(file: &Path, err: &serde_json::Error) -> anyhow::Error {
    let place = format!("{}:{}:{}", file.display(), err.line(), err.column());
    anyhow::anyhow!("{place}: not valid JSON: {err}")
}

/// Returns the findings with their positions, in the order of the document.
fn reported(findings: &[Finding], positions: &JsonPositions<'_>) -> Vec<ReportedFinding> {
    let reported = findings.iter().map(|finding| ReportedFinding {
        severity: finding.severity,
        entry: finding.entry.to_string(),
        message: finding.problem.to_string(),
        position: position(&finding.entry, positions),
    });
    let mut reported: Vec<_> = reported.collect();
    reported.sort_by_key(|it| it.position.as_ref().map(|at| (at.line, at.column)));
    reported
}

fn position(entry: &RoutingEntry, positions: &JsonPositions<'_>) -> Option<JsonPosition> {
    match entry {
        RoutingEntry::Document => None,
        RoutingEntry::Version => positions.field(VERSION_FIELD),
        RoutingEntry::Limits => positions.field(LIMITS_FIELD),
        RoutingEntry::Route { index, .. } => positions.element(ROUTES_FIELD, *index),
        RoutingEntry::Service { index, .. } => positions.element(SERVICES_FIELD, *index),
    }
}
