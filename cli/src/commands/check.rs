//! `hollyhead check`: validates settings files.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::Bpaf;
use hollyhead::settings::Settings;

use super::INVALID_INPUT;

/// Check settings files
///
/// Example: hollyhead check entry.ini
#[derive(Clone, Debug, Bpaf)]
pub struct Check {
    /// Settings files
    #[bpaf(positional("FILE"), some("name at least one settings file"))]
    files: Vec<PathBuf>,
}

impl Check {
    /// Validates every file and prints all errors.
    pub fn run(&self) -> Result<ExitCode> {
        let mut has_errors = false;
        for file in &self.files {
            match Settings::read(file) {
                Ok(_) => println!("{}: no faults", file.display()),
                Err(err) => {
                    println!("{err}");
                    has_errors = true;
                }
            }
        }
        Ok(if has_errors { ExitCode::from(INVALID_INPUT) } else { ExitCode::SUCCESS })
    }
}
