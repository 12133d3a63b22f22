//! `hollyhead drain`: takes a target or a data centre out of service.

use std::process::ExitCode;

use anyhow::{bail, Result};
use bpaf::Bpaf;
use hollyhead::drain::{self, DrainAction};
use hollyhead::platform::Object;
use hollyhead::validation::Declaration;

use crate::records::{self, parse_kind, platform_option, PlatformOption};

/// Options of `hollyhead drain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Drain {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// Why it is taken out
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    reason: String,
    /// Who takes it out
    #[bpaf(argument("NAME"), env("USER"), fallback(String::new()))]
    operator: String,
    /// Go on although a service is left without targets
    force: bool,
    /// Only show what would change
    dry_run: bool,
    /// target or data-centre
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Drain {
    /// Checks that every service keeps a target, and takes the target or data centre out of service.
    pub async fn run(&self) -> Result<ExitCode> {
        let change = StateChange {
            platform_option: &self.platform_option,
            action: DrainAction::Drain,
            reason: &self.reason,
            operator: &self.operator,
            is_forced: self.force,
            is_dry_run: self.dry_run,
        };
        change.apply(&self.kind, &self.name).await
    }
}

/// Change that takes a target or a data centre out of service or returns it to service.
pub struct StateChange<'a> {
    /// Address of the platform that holds the record.
    pub platform_option: &'a PlatformOption,
    /// Whether to take the record out of service or to return it.
    pub action: DrainAction,
    /// Reason that the operator gave; empty if there is none.
    pub reason: &'a str,
    /// Name of the operator; empty if it is not known.
    pub operator: &'a str,
    /// Whether to make the change even if it leaves a service without targets.
    pub is_forced: bool,
    /// Whether to print the change without writing it.
    pub is_dry_run: bool,
}

impl StateChange<'_> {
    /// Validates the change, prints it, and writes it unless it is a dry run.
    ///
    /// # Errors
    ///
    /// Returns an error when the kind is unknown or cannot be drained, when there is no such record,
    /// when a service would be left without targets and the change is not forced, or when the
    /// platform does not respond.
    pub async fn apply(&self, kind: &str, name: &str) -> Result<ExitCode> {
        let kind = parse_kind(kind).map_err(anyhow::Error::msg)?;
        let Some(mut body) = drain::state_patch(kind, self.action, self.reason, self.operator)
        else {
            bail!("a {} cannot be drained; use target or data-centre", kind.name());
        };
        let current = self.platform_option.read().await?;
        let found = current.get(kind, name);
        let Some(record) = found.and_then(|object| object.body.as_ref()) else {
            bail!(
                "there is no {}/{name}; list them with `hollyhead get {}`",
                kind.name(),
                kind.name()
            );
        };
        body["schema_version"] = record["schema_version"].clone();
        let declared = Declaration { file: None, kind, name: name.into(), body };
        let wanted = current.edit(&declared)?.wanted;
        let version = current.config.version() + 1;
        let changed =
            Object { kind: kind.name().into(), name: name.into(), version, body: Some(wanted) };
        let lost = drain::services_left_without_targets(&current.config, &changed);
        if !lost.is_empty() && !self.is_forced {
            let (record, lost) = (format!("{}/{name}", kind.name()), lost.join(", "));
            bail!("without {record} no target is left for: {lost}; repeat with --force to go on");
        }
        let platform = self.platform_option.client();
        records::apply_declarations(&platform, &current, &[declared], self.is_dry_run).await
    }
}
