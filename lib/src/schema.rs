//! Schema versions of records and the conversion between neighbouring ones.
//!
//! Version 2 names the deadline of a service `request_timeout_ms` instead of `deadline_ms`, limits
//! a service to the data centres in `data_centres`, and keeps in `operator` who last changed the
//! state of a data centre. Instances and the command line read both versions.

use serde_json::{Map, Value};
use thiserror::Error;

use crate::record::{RecordKind, SCHEMA_VERSION};

/// Field that holds the schema version of a record.
pub const VERSION_FIELD: &str = "schema_version";
const OLD_TIMEOUT: &str = "deadline_ms";
const NEW_TIMEOUT: &str = "request_timeout_ms";
const FIRST_VERSION: u64 = 1;

/// Reason why a body has no usable schema version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchemaError {
    /// The body is not a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The schema version is absent or not a number from 1.
    #[error("field schema_version: must be a whole number from 1; write {SCHEMA_VERSION}")]
    InvalidVersion,
    /// Both the old and the new name of a field are there.
    #[error("field {old}: was renamed to {new} in version 2; leave out one of them")]
    DuplicateField {
        /// Name in version 1.
        old: &'static str,
        /// Name in version 2.
        new: &'static str,
    },
    /// A write would replace a record by one of an older schema version.
    #[error(
        "field schema_version: the record has version {current} and the write has {written}; \
         convert it to version {current} or use a newer hollyhead"
    )]
    Downgrade {
        /// Version of the record in the platform.
        current: u64,
        /// Version of the write.
        written: u64,
    },
}

/// Returns the schema version of a body.
///
/// # Errors
///
/// Returns [`SchemaError`] when there is none.
pub fn version(body: &Value) -> Result<u64, SchemaError> {
    let fields = body.as_object().ok_or(SchemaError::NotAnObject)?;
    let version = fields.get(VERSION_FIELD).and_then(Value::as_u64);
    version.filter(|version| *version >= FIRST_VERSION).ok_or(SchemaError::InvalidVersion)
}

/// Converts a body to the newest schema version that this build knows; a newer one stays as it is.
///
/// # Errors
///
/// Returns [`SchemaError`] when the body cannot be converted.
pub fn upgrade(kind: RecordKind, body: Value) -> Result<Value, SchemaError> {
    convert(kind, body, u64::from(SCHEMA_VERSION))
}

/// Converts a body of version 1 to version 2, or one of version 2 to version 1. Fields that the
/// wanted version does not know are kept.
///
/// # Errors
///
/// Returns [`SchemaError`] when the body cannot be converted.
pub fn convert(kind: RecordKind, body: Value, wanted: u64) -> Result<Value, SchemaError> {
    let current = version(&body)?;
    let Value::Object(mut fields) = body else { return Err(SchemaError::NotAnObject) };
    if current > u64::from(SCHEMA_VERSION) || current == wanted {
        return Ok(Value::Object(fields));
    }
    if kind == RecordKind::Service {
        let (from, to) =
            if wanted > current { (OLD_TIMEOUT, NEW_TIMEOUT) } else { (NEW_TIMEOUT, OLD_TIMEOUT) };
        rename(&mut fields, from, to)?;
    }
    fields.insert(VERSION_FIELD.into(), wanted.into());
    Ok(Value::Object(fields))
}

/// Checks that a write does not replace a record by one of an older schema version.
///
/// # Errors
///
/// Returns [`SchemaError::Downgrade`] when it does.
pub fn check_no_downgrade(current: &Value, written: &Value) -> Result<(), SchemaError> {
    let (current, written) = (version(current).unwrap_or_default(), version(written)?);
    if written < current {
        return Err(SchemaError::Downgrade { current, written });
    }
    Ok(())
}

fn rename(
    fields: &mut Map<String, Value>,
    from: &'static str,
    to: &'static str,
) -> Result<(), SchemaError> {
    let Some(value) = fields.remove(from) else { return Ok(()) };
    if fields.contains_key(to) {
        return Err(SchemaError::DuplicateField { old: OLD_TIMEOUT, new: NEW_TIMEOUT });
    }
    fields.insert(to.into(), value);
    Ok(())
}
