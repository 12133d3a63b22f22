//! Three-way merge of JSON records, field by field.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value};

/// Name of the field that holds the metadata of a record.
pub const METADATA_FIELD: &str = "metadata";

/// A field that two writers changed to different values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldConflict {
    /// Path of the field, such as `cold_start.slots`.
    pub field: String,
    /// Value before both changes; `None` if the field was absent.
    pub base: Option<Value>,
    /// Value in the write that is refused; `None` if the write removes the field.
    pub mine: Option<Value>,
    /// Value now in the platform; `None` if the field was removed there.
    pub theirs: Option<Value>,
}

impl fmt::Display for FieldConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  {}", self.field)?;
        writeln!(f, "    was:      {}", format_value(self.base.as_ref()))?;
        writeln!(f, "    yours:    {}", format_value(self.mine.as_ref()))?;
        write!(f, "    platform: {}", format_value(self.theirs.as_ref()))
    }
}

/// Merges two changes to the same record. The metadata field is always taken from `theirs` and never
/// conflicts.
///
/// # Errors
///
/// Returns each field that both sides changed to different values.
pub fn three_way(base: &Value, mine: &Value, theirs: &Value) -> Result<Value, Vec<FieldConflict>> {
    let mut conflicts = Vec::new();
    let merged = merge("", Some(base), Some(mine), Some(theirs), &mut conflicts);
    if conflicts.is_empty() {
        return Ok(merged.unwrap_or_default());
    }
    Err(conflicts)
}

/// Returns the fields that differ between two records, except metadata, as lines of a diff. Without
/// an old record, every field of the new one is listed.
pub fn diff(old: Option<&Value>, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    diff_into("", old, Some(new), &mut lines);
    lines
}

fn merge(
    path: &str,
    base: Option<&Value>,
    mine: Option<&Value>,
    theirs: Option<&Value>,
    conflicts: &mut Vec<FieldConflict>,
) -> Option<Value> {
    if mine == theirs || mine == base || path == METADATA_FIELD {
        return theirs.cloned();
    }
    if theirs == base {
        return mine.cloned();
    }
    if let (Some(Value::Object(mine)), Some(Value::Object(theirs))) = (mine, theirs) {
        let none = Map::new();
        let base = base.and_then(Value::as_object).unwrap_or(&none);
        return Some(merge_fields(path, base, mine, theirs, conflicts));
    }
    conflicts.push(FieldConflict {
        field: path.into(),
        base: base.cloned(),
        mine: mine.cloned(),
        theirs: theirs.cloned(),
    });
    None
}

fn merge_fields(
    path: &str,
    base: &Map<String, Value>,
    mine: &Map<String, Value>,
    theirs: &Map<String, Value>,
    conflicts: &mut Vec<FieldConflict>,
) -> Value {
    let names: BTreeSet<&String> = mine.keys().chain(theirs.keys()).collect();
    let mut merged = Map::new();
    for name in names {
        let path = join_path(path, name);
        let value = merge(&path, base.get(name), mine.get(name), theirs.get(name), conflicts);
        if let Some(value) = value {
            merged.insert(name.clone(), value);
        }
    }
    Value::Object(merged)
}

fn diff_into(path: &str, old: Option<&Value>, new: Option<&Value>, lines: &mut Vec<String>) {
    if old == new || path == METADATA_FIELD {
        return;
    }
    let none = Map::new();
    let old_fields = old.map_or(Some(&none), Value::as_object);
    if let (Some(old), Some(new)) = (old_fields, new.and_then(Value::as_object)) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            diff_into(&join_path(path, name), old.get(name), new.get(name), lines);
        }
        return;
    }
    if let Some(old) = old {
        lines.push(format!("- {path}: {old}"));
    }
    if let Some(new) = new {
        lines.push(format!("+ {path}: {new}"));
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.into();
    }
    format!("{path}.{name}")
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| "(absent)".into(), ToString::to_string)
}
