//! Reading, validating and writing of records, shared by the commands.

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

use crate::commands::INVALID_INPUT;

/// Option that names the platform.
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

    /// Reads all records from the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or its records cannot be read.
    pub async fn read(&self) -> Result<CurrentRecords> {
        let current = CurrentRecords::read(&self.client()).await;
        current.with_context(|| format!("cannot read records; is --platform {} right?", self.url))
    }
}

/// Parses the name of a kind of records.
///
/// # Errors
///
/// Returns a message that lists the valid kinds.
pub fn parse_kind(text: &str) -> Result<RecordKind, String> {
    let kind = RecordKind::from_name(text);
    kind.ok_or_else(|| format!("there is no kind {text}; use service, target or data-centre"))
}

/// Validates declarations, prints the changes to each record, and writes them unless `is_dry_run`.
/// If any declaration is invalid, prints all errors, writes nothing and returns the exit code
/// [`INVALID_INPUT`].
///
/// # Errors
///
/// Returns the first failed write; the records before it have been written.
pub async fn apply_declarations(
    platform: &HttpPlatform,
    current: &CurrentRecords,
    declared: &[Declaration],
    is_dry_run: bool,
) -> Result<ExitCode> {
    let mut errors = Vec::new();
    let mut edits = Vec::new();
    for record in declared {
        match current.edit(record) {
            Ok(edit) => edits.push(edit),
            Err(err) => errors.push(format!("{}/{}: {err}", record.kind.name(), record.name)),
        }
    }
    let wanted: Vec<_> = declared
        .iter()
        .zip(&edits)
        .map(|(record, edit)| Declaration { body: edit.wanted.clone(), ..record.clone() })
        .collect();
    if errors.is_empty() {
        let invalid = validation::check(&current.config, &wanted);
        errors.extend(invalid.iter().map(ToString::to_string));
    }
    if !errors.is_empty() {
        println!("{}", errors.join("\n"));
        return Ok(ExitCode::from(INVALID_INPUT));
    }
    edits.sort_by_key(|edit| write_order(edit.kind));
    for edit in &edits {
        print_diff(edit);
    }
    if is_dry_run {
        println!("dry run: nothing was written");
        return Ok(ExitCode::SUCCESS);
    }
    write_edits(platform, edits).await
}

async fn write_edits(platform: &HttpPlatform, edits: Vec<Edit>) -> Result<ExitCode> {
    let random = SeededRandom::from_system();
    let writer = RecordWriter::new(platform, &random);
    let mut newest = None;
    for edit in edits {
        let record = format!("{}/{}", edit.kind.name(), edit.name);
        match writer.write(edit).await? {
            Outcome::Unchanged(version) => println!("{record}: unchanged at version {version}"),
            Outcome::Written(version) => {
                println!("{record}: written as version {version}");
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

/// Returns the position of a kind in the order of writing. Records that others refer to are written
/// first, so that no reference dangles.
fn write_order(kind: RecordKind) -> u8 {
    match kind {
        RecordKind::DataCentre => 0,
        RecordKind::Service => 1,
        RecordKind::Target => 2,
    }
}
