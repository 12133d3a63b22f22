//! `hollyhead check-routing`: checks a routing document before the operator sends it.

use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use bpaf::Bpaf;
use hollyhead::admin_client;
use hollyhead::json_position::{JsonPosition, JsonPositions};
use hollyhead::plugin;
use hollyhead::route::Routing;
use hollyhead::routing_check::{self, Finding, Problem, Severity};
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
        match self.check().await {
            Ok(code) => Ok(code),
            Err(err) => {
                eprintln!("hollyhead: {err:#}");
                Ok(ExitCode::from(INVALID_INPUT))
            }
        }
    }

    async fn check(&self) -> Result<ExitCode> {
        let decode = plugin::routing_decoder(&self.api)?;
        let text = read(&self.file)?;
        let (mut findings, routing) = decode_and_check(&self.file, &text, decode)?;
        let reference = self.reference(decode).await;
        let old = reference.as_ref().ok().and_then(Option::as_ref);
        let difference = old.zip(routing).map(|(old, document)| RoutingDiff::new(old, &document));
        findings.extend(difference.as_ref().and_then(RoutingDiff::finding));
        let findings = reported(&findings, &JsonPositions::new(&text));
        let is_clean = findings.is_empty();
        self.print(&Report { file: self.file.clone(), findings, difference })?;
        // The findings are printed also if there is nothing to compare the document with.
        reference?;
        Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    /// Reads the document to compare with.
    async fn reference(&self, decode: RoutingDecoder) -> Result<Option<Routing>> {
        match &self.reference {
            None => Ok(None),
            Some(Reference::Against { against }) => {
                let (findings, routing) = decode_and_check(against, &read(against)?, decode)?;
                let mut refusals =
                    findings.iter().filter(|it| matches!(it.problem, Problem::Refused(_)));
                if let Some(Finding { entry, problem, .. }) = refusals.next() {
                    bail!("{}: {entry}: {problem}", against.display());
                }
                Ok(routing)
            }
            Some(Reference::InForce { in_force }) => {
                let routing = admin_client::get(*in_force, ROUTING_PAGE).await;
                Ok(Some(routing.context("cannot read the routing in force")?))
            }
        }
    }

    /// Writes the report to standard output, through a buffer since it may be long.
    fn print(&self, report: &Report) -> Result<()> {
        let mut out = BufWriter::new(std::io::stdout().lock());
        if self.json {
            serde_json::to_writer_pretty(&mut out, report)?;
            writeln!(out)?;
        } else {
            print_findings(&mut out, report)?;
            if let Some(difference) = &report.difference {
                print_difference(&mut out, difference)?;
            }
        }
        Ok(out.flush()?)
    }
}

/// Writes the findings, each entry quoted once, after its last finding.
fn print_findings(out: &mut impl Write, report: &Report) -> Result<()> {
    let file = report.file.display();
    if report.findings.is_empty() {
        writeln!(out, "{file}: no findings")?;
    }
    let mut findings = report.findings.iter().peekable();
    while let Some(ReportedFinding { severity, entry, message, position }) = findings.next() {
        let Some(JsonPosition { line, column, quote }) = position else {
            writeln!(out, "{file}: {severity}: {entry}: {message}")?;
            continue;
        };
        writeln!(out, "{file}:{line}:{column}: {severity}: {entry}: {message}")?;
        if findings.peek().is_none_or(|next| next.position != *position) {
            writeln!(out, "    {quote}")?;
        }
    }
    Ok(())
}

fn print_difference(out: &mut impl Write, difference: &RoutingDiff) -> Result<()> {
    let RoutingDiff { version_in_force, version, differences, .. } = difference;
    let comparison = match differences.len() {
        0 => format!("version {version} has the same contents as version {version_in_force}"),
        1 => format!("1 difference of version {version} to version {version_in_force}:"),
        count => format!("{count} differences of version {version} to version {version_in_force}:"),
    };
    writeln!(out, "{comparison}")?;
    for difference in differences {
        writeln!(out, "  {difference}")?;
    }
    Ok(())
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

/// Returns the findings on a document, and its routing unless instances refuse it.
fn decode_and_check(
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
