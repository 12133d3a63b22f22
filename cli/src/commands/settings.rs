//! `hollyhead settings`: prints the reference of all settings.

use std::process::ExitCode;

use anyhow::Result;
use hollyhead::settings_reference;

/// Prints the reference as Markdown.
pub fn run() -> Result<ExitCode> {
    print!("{}", settings_reference::markdown());
    Ok(ExitCode::SUCCESS)
}
