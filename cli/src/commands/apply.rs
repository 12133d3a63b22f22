//! `hollyhead apply`: writes records as declared in files.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::Bpaf;
use hollyhead::declaration;

use super::INVALID_INPUT;
use crate::records::{self, platform_option, PlatformOption};

/// Options of `hollyhead apply`.
#[derive(Clone, Debug, Bpaf)]
pub struct Apply {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// JSON file with one record or a list, or a directory of such files
    #[bpaf(short('f'), long("file"), argument("FILE|DIR"))]
    file: PathBuf,
    /// Only show what would change
    dry_run: bool,
}

impl Apply {
    /// Validates all declarations, prints the changes to each record, and writes them.
    pub async fn run(&self) -> Result<ExitCode> {
        let declared = match declaration::read(&self.file) {
            Ok(declared) => declared,
            Err(errors) => {
                errors.iter().for_each(|err| println!("{err}"));
                return Ok(ExitCode::from(INVALID_INPUT));
            }
        };
        let current = self.platform_option.read().await?;
        let platform = self.platform_option.client();
        records::apply_declarations(&platform, &current, &declared, self.dry_run).await
    }
}
