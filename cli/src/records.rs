//! What the commands that read or write records share.

use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::declaration::CurrentRecords;
use hollyhead::http_platform::HttpPlatform;
use hollyhead::merge;
use hollyhead::random::SeededRandom;
use hollyhead::record::RecordKind;
use hollyhead::transaction::{Edit, Outcome, RecordWriter};
use hollyhead::validation::{self, Declaration};

use crate::commands::FAULTY_INPUT;

/// Where the platform is.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformOption {
    /// Base URL of the platform's object API
    #[bpaf(long("platform"), argument("URL"))]
    url: String,
}

impl PlatformOption {
    /// Returns a client of the platform.
    pub fn client(&self) -> HttpPlatform {
        HttpPlatform::new(self.url.as_str())
    }

    /// Reads all records.
    ///
    /// # Errors
    ///
    /// Returns why the platform does not answer, with a hint.
    pub async fn read(&self) -> Result<CurrentRecords> {
        let current = CurrentRecords::read(&self.client()).await;
        current.with_context(|| format!("cannot read records; is --platform {} right?", self.url))
    }
}

/// Parses a kind of records.
///
/// # Errors
///
/// Returns the kinds that there are.
pub fn parse_kind(text: &str) -> Result<RecordKind, String> {
    let kind = RecordKind::from_name(text);
    kind.ok_or_else(|| format!("there is no kind {text}; use service, target or data-centre"))
}

/// Checks edits, prints what they change, and makes them unless `is_dry_run`.
///
/// # Errors
///
/// Returns why an edit was not made; those before it were.
pub async fn make(
    platform: &HttpPlatform,
    current: &CurrentRecords,
    declared: &[Declaration],
    is_dry_run: bool,
) -> Result<ExitCode> {
    let mut faults = Vec::new();
    let mut edits = Vec::new();
    for record in declared {
        match current.edit(record) {
            Ok(edit) => edits.push(edit),
            Err(err) => faults.push(format!("{}/{}: {err}", record.kind.name(), record.name)),
        }
    }
    let wanted: Vec<_> = declared
        .iter()
        .zip(&edits)
        .map(|(record, edit)| Declaration { body: edit.wanted.clone(), ..record.clone() })
        .collect();
    if faults.is_empty() {
        let found = validation::check(&current.config, &wanted);
        faults.extend(found.iter().map(ToString::to_string));
    }
    if !faults.is_empty() {
        println!("{}", faults.join("\n"));
        return Ok(ExitCode::from(FAULTY_INPUT));
    }
    edits.sort_by_key(|edit| order(edit.kind));
    for edit in &edits {
        print_diff(edit);
    }
    if is_dry_run {
        println!("dry run: nothing was written");
        return Ok(ExitCode::SUCCESS);
    }
    write(platform, edits).await
}

async fn write(platform: &HttpPlatform, edits: Vec<Edit>) -> Result<ExitCode> {
    let random = SeededRandom::from_system();
    let writer = RecordWriter::new(platform, &random);
    let mut newest = None;
    for edit in edits {
        let place = format!("{}/{}", edit.kind.name(), edit.name);
        match writer.write(edit).await? {
            Outcome::Unchanged(version) => println!("{place}: unchanged at version {version}"),
            Outcome::Written(version) => {
                println!("{place}: written as version {version}");
                newest = newest.max(Some(version));
            }
        }
    }
    if let Some(version) = newest {
        println!("see where it is in force: hollyhead status --wait {version}");
    }
    Ok(ExitCode::SUCCESS)
}

fn print_diff(edit: &Edit) {
    let body = edit.base.as_ref().and_then(|base| base.body.as_ref());
    let lines = merge::diff(body, &edit.wanted);
    if !lines.is_empty() {
        println!("{}/{}:\n  {}", edit.kind.name(), edit.name, lines.join("\n  "));
    }
}

/// Returns the place of a kind in the order of writing: what others refer to goes first.
fn order(kind: RecordKind) -> u8 {
    match kind {
        RecordKind::DataCentre => 0,
        RecordKind::Service => 1,
        RecordKind::Target => 2,
    }
}
