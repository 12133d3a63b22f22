//! `hollyhead get`: prints records.

use std::process::ExitCode;

use anyhow::{bail, Result};
use bpaf::Bpaf;
use hollyhead::platform::Object;

use crate::records::{parse_kind, platform_option, PlatformOption};

/// Options of `hollyhead get`.
#[derive(Clone, Debug, Bpaf)]
pub struct Get {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// Print the records as JSON
    json: bool,
    /// service, target or data-centre
    #[bpaf(positional("KIND"))]
    kind: Option<String>,
    /// Name of one record
    #[bpaf(positional("NAME"))]
    name: Option<String>,
}

impl Get {
    /// Prints a line for each record, or a single named record in full.
    pub async fn run(&self) -> Result<ExitCode> {
        let kind = self.kind.as_deref().map(parse_kind).transpose().map_err(anyhow::Error::msg)?;
        let mut objects = self.platform_option.read().await?.objects;
        objects.retain(|object| kind.is_none_or(|kind| object.kind == kind.name()));
        if let Some(name) = &self.name {
            objects.retain(|object| object.name == name.as_str());
            if objects.is_empty() {
                bail!("there is no such record; list them with `hollyhead get`");
            }
        }
        if self.json {
            println!("{}", serde_json::to_string_pretty(&objects)?);
        } else if let (Some(_), [object]) = (&self.name, objects.as_slice()) {
            print_full(object)?;
        } else {
            objects.iter().for_each(print_summary);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print_summary(object: &Object) {
    let body = object.body.clone().unwrap_or_default();
    let state = body["state"].as_str().unwrap_or_default();
    let record = format!("{}/{}", object.kind, object.name);
    println!("{}", format!("{record:<40} version {:<8} {state}", object.version).trim_end());
}

fn print_full(object: &Object) -> Result<()> {
    println!("{}/{} version {}", object.kind, object.name, object.version);
    println!("{}", serde_json::to_string_pretty(&object.body)?);
    Ok(())
}
