//! `hollyhead edit`: changes fields of a record.

use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use bpaf::Bpaf;
use hollyhead::declaration::set_field;
use hollyhead::validation::Declaration;
use serde_json::{json, Value};

use crate::records::{self, parse_kind, platform_option, PlatformOption};

/// Options of `hollyhead edit`.
#[derive(Clone, Debug, Bpaf)]
pub struct Edit {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// Only show what would change
    dry_run: bool,
    /// service, target or data-centre
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,
    /// Fields with their values in JSON; text needs no quotes, and null removes a field
    #[bpaf(positional("FIELD=VALUE"), some("name at least one field, such as weight=2"))]
    fields: Vec<String>,
}

impl Edit {
    /// Validates the changed record, prints the changes, and writes it.
    pub async fn run(&self) -> Result<ExitCode> {
        let kind = parse_kind(&self.kind).map_err(anyhow::Error::msg)?;
        let current = self.platform_option.read().await?;
        let Some(body) = current.get(kind, &self.name).and_then(|object| object.body.as_ref())
        else {
            bail!("there is no {}/{}; create it with `hollyhead apply`", kind.name(), self.name);
        };
        let mut body = json!({ "schema_version": body["schema_version"], "name": body["name"] });
        for field in &self.fields {
            let (path, value) = parse_field(field)?;
            if value.is_null() && path.contains('.') {
                bail!("{path}: only top-level fields can be removed");
            }
            if value.is_null() {
                body[path] = value;
            } else {
                set_field(&mut body, path, value);
            }
        }
        let declared = Declaration { file: None, kind, name: self.name.as_str().into(), body };
        let platform = self.platform_option.client();
        records::apply_declarations(&platform, &current, &[declared], self.dry_run).await
    }
}

fn parse_field(text: &str) -> Result<(&str, Value)> {
    let (path, value) =
        text.split_once('=').with_context(|| format!("{text}: expected FIELD=VALUE"))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    Ok((path, value))
}
