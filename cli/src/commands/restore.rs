//! `hollyhead restore`: brings a target or a data centre back.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::Bpaf;
use hollyhead::drain::DrainAction;

use super::drain::Change;
use crate::records::{platform_option, PlatformOption};

/// Options of `hollyhead restore`.
#[derive(Clone, Debug, Bpaf)]
pub struct Restore {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// Who brings it back
    #[bpaf(argument("NAME"), env("USER"), fallback(String::new()))]
    operator: String,
    /// Only show what would change
    dry_run: bool,
    /// target or data-centre
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Restore {
    /// Brings the record back.
    pub async fn run(&self) -> Result<ExitCode> {
        let change = Change {
            platform_option: &self.platform_option,
            action: DrainAction::Restore,
            reason: "",
            operator: &self.operator,
            is_forced: false,
            is_dry_run: self.dry_run,
        };
        change.make(&self.kind, &self.name).await
    }
}
