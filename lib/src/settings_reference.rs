//! Reference of all settings, generated from the table that also validates them.

use crate::settings::{SettingSpec, ValueKind, SPECS};

/// Returns the reference as a Markdown page.
pub fn markdown() -> String {
    let mut page = String::from(
        "# Settings of an instance\n\n\
         `hollyhead-entry --config FILE` reads one INI file. `hollyhead check FILE` and\n\
         `hollyhead-entry --check-config --config FILE` check it and list every fault with its\n\
         line. `hollyhead settings` prints this page.\n",
    );
    let mut section = "";
    for spec in SPECS {
        if spec.section != section {
            section = spec.section;
            page.push_str(&format!(
                "\n## [{section}]\n\n| key | value | unit | default | meaning |\n\
                 | --- | --- | --- | --- | --- |\n"
            ));
        }
        page.push_str(&spec_row(spec));
    }
    page
}

fn spec_row(spec: &SettingSpec) -> String {
    let default = match spec.default {
        None => "must be set".into(),
        Some("") => "absent".into(),
        Some(value) => format!("`{value}`"),
    };
    format!(
        "| `{}` | {} | {} | {default} | {} |\n",
        spec.key,
        describe_kind(spec.kind),
        spec.unit,
        spec.doc
    )
}

fn describe_kind(kind: ValueKind) -> String {
    match kind {
        ValueKind::Name => "1 to 63 letters, digits, `-`, `_`, `.`".into(),
        ValueKind::Address => "IP address and port".into(),
        ValueKind::Path => "URL path that begins with `/`".into(),
        ValueKind::Url => "URL with the scheme `http`".into(),
        ValueKind::Integer { min, max } => format!("whole number from {min} to {max}"),
        ValueKind::Decimal { min, max } => format!("number from {min} to {max}"),
        ValueKind::Boolean => "`true` or `false`".into(),
        ValueKind::Addresses => "IP addresses and ports, separated by commas".into(),
        ValueKind::Key { bytes } => format!("{} hexadecimal digits", bytes * 2),
    }
}
