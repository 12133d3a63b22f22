//! Schema versions of records and the conversion between adjacent versions.
//!
//! Version 2 renames the field `deadline_ms` of a service to `request_timeout_ms`, adds the field
//! `data_centres`, which limits a service to some data centres, and adds the field `operator`, which
//! names the operator who last changed the state of a data centre. Instances and the command line
//! read both versions.

use serde_json::{Map, Value};
use thiserror::Error;

use crate::record::{RecordKind, SCHEMA_VERSION};

/// Name of the field that holds the schema version of a record.
pub const VERSION_FIELD: &str = "schema_version";
const SERVICE_TIMEOUT: FieldRename = FieldRename { old: "deadline_ms", new: "request_timeout_ms" };
const FIRST_VERSION: u64 = 1;

/// Error in the schema version of a record, or in its conversion to another version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchemaError {
    /// The body is not a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The schema version is absent or not a positive integer.
    #[error("field schema_version: must be a whole number from 1; write {SCHEMA_VERSION}")]
    InvalidVersion,
    /// The body has a field under both its old and its new name.
    #[error("field {old}: was renamed to {new} in version 2; leave out one of them")]
    DuplicateField {
        /// Name of the field in version 1.
        old: &'static str,
        /// Name of the field in version 2.
        new: &'static str,
    },
    /// The write has an older schema version than the record that it would replace.
    #[error(
        "field schema_version: the record has version {current} and the write has {written}; \
         convert it to version {current} or use a newer hollyhead"
    )]
    Downgrade {
        /// Schema version of the record in the platform.
        current: u64,
        /// Schema version of the write.
        written: u64,
    },
}

/// Returns the schema version of a body.
///
/// # Errors
///
/// Returns [`SchemaError::NotAnObject`] or [`SchemaError::InvalidVersion`].
pub fn version(body: &Value) -> Result<u64, SchemaError> {
    let fields = body.as_object().ok_or(SchemaError::NotAnObject)?;
    let version = fields.get(VERSION_FIELD).and_then(Value::as_u64);
    version.filter(|version| *version >= FIRST_VERSION).ok_or(SchemaError::InvalidVersion)
}

/// Converts a body to [`SCHEMA_VERSION`], the newest version that this build supports. A body of a
/// newer version is returned unchanged.
///
/// # Errors
///
/// Returns [`SchemaError`] when the body cannot be converted.
pub fn upgrade(kind: RecordKind, body: Value) -> Result<Value, SchemaError> {
    convert(kind, body, u64::from(SCHEMA_VERSION))
}

/// Converts a body of version 1 to version 2 or back. Fields that do not exist in the new version are
/// kept, and a body of a version newer than [`SCHEMA_VERSION`] is returned unchanged.
///
/// # Errors
///
/// Returns [`SchemaError`] when the body cannot be converted.
pub fn convert(kind: RecordKind, body: Value, new_version: u64) -> Result<Value, SchemaError> {
    let current = version(&body)?;
    let Value::Object(mut fields) = body else { return Err(SchemaError::NotAnObject) };
    if current > u64::from(SCHEMA_VERSION) || current == new_version {
        return Ok(Value::Object(fields));
    }
    for rename in renames(kind) {
        rename.apply(&mut fields, new_version > current)?;
    }
    fields.insert(VERSION_FIELD.into(), new_version.into());
    Ok(Value::Object(fields))
}

/// Checks that a write does not replace a record with one of an older schema version.
///
/// # Errors
///
/// Returns [`SchemaError::Downgrade`] if the written record has an older schema version than the
/// current one, or another [`SchemaError`] if it has no valid schema version.
pub fn check_no_downgrade(current: &Value, written: &Value) -> Result<(), SchemaError> {
    let (current, written) = (version(current).unwrap_or_default(), version(written)?);
    if written < current {
        return Err(SchemaError::Downgrade { current, written });
    }
    Ok(())
}

/// Field that has another name in the next schema version.
#[derive(Clone, Copy, Debug)]
pub struct FieldRename {
    /// Name of the field in the older version.
    pub old: &'static str,
    /// Name of the field in the newer version.
    pub new: &'static str,
}

impl FieldRename {
    /// Moves the value of the field, if it is present, to its name in the other version.
    ///
    /// # Errors
    ///
    /// Returns [`SchemaError::DuplicateField`] if the field is present under both names.
    pub fn apply(
        self,
        fields: &mut Map<String, Value>,
        is_upgrade: bool,
    ) -> Result<(), SchemaError> {
        let Self { old, new } = self;
        let (from, to) = if is_upgrade { (old, new) } else { (new, old) };
        let Some(value) = fields.remove(from) else { return Ok(()) };
        if fields.contains_key(to) {
            return Err(SchemaError::DuplicateField { old, new });
        }
        fields.insert(to.into(), value);
        Ok(())
    }
}

/// Returns the fields of a kind that version 2 renamed.
fn renames(kind: RecordKind) -> &'static [FieldRename] {
    match kind {
        RecordKind::Service => &[SERVICE_TIMEOUT],
        _ => &[],
    }
}
