//! Reads declarations of records from JSON files, and turns them into edits of the records in the
//! platform.

use std::path::{Path, PathBuf};

use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::config::Config;
use crate::platform::{Object, Platform, PlatformError};
use crate::record::RecordKind;
use crate::schema::{self, SchemaError};
use crate::transaction::Edit;
use crate::validation::Declaration;

/// Name of the field of a declaration that holds the record's kind.
pub const KIND_FIELD: &str = "kind";

/// Error in a file of declarations.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// The file or directory cannot be read, or the file is not valid JSON.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the file or directory.
        file: PathBuf,
        /// Text of the I/O or JSON error.
        reason: String,
    },
    /// An entry of the file does not declare a record.
    #[error("{file}: record {number}: {reason}")]
    InvalidRecord {
        /// Path of the file.
        file: PathBuf,
        /// Position of the entry in the file, counted from 1.
        number: usize,
        /// Requirement that the entry does not meet.
        reason: &'static str,
    },
}

/// Reads the declarations in a file, or in all `.json` files of a directory in the order of their
/// names. A file holds one JSON object or an array of them.
///
/// # Errors
///
/// Returns the errors of all files, so that the operator can correct them at once.
pub fn read(path: &Path) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let mut declarations = Vec::new();
    let mut errors = Vec::new();
    for file in json_files(path).map_err(|err| vec![err])? {
        match read_file(&file) {
            Ok(values) => {
                for (index, value) in values.into_iter().enumerate() {
                    match parse(&file, index + 1, value) {
                        Ok(record) => declarations.push(record),
                        Err(err) => errors.push(err),
                    }
                }
            }
            Err(err) => errors.push(err),
        }
    }
    if errors.is_empty() {
        return Ok(declarations);
    }
    Err(errors)
}

fn json_files(path: &Path) -> Result<Vec<PathBuf>, DeclarationError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(|err| unreadable(path, &err))?;
    let mut files = Vec::new();
    for entry in entries {
        let file = entry.map_err(|err| unreadable(path, &err))?.path();
        if file.extension().is_some_and(|extension| extension == "json") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_file(file: &Path) -> Result<Vec<Value>, DeclarationError> {
    let text = std::fs::read(file).map_err(|err| unreadable(file, &err))?;
    match serde_json::from_slice(&text).map_err(|err| unreadable(file, &err))? {
        Value::Array(values) => Ok(values),
        value => Ok(vec![value]),
    }
}

fn unreadable(file: &Path, err: &dyn std::fmt::Display) -> DeclarationError {
    DeclarationError::Unreadable { file: file.to_owned(), reason: err.to_string() }
}

fn parse(file: &Path, number: usize, mut body: Value) -> Result<Declaration, DeclarationError> {
    let refuse = |reason| DeclarationError::InvalidRecord { file: file.to_owned(), number, reason };
    let fields = body.as_object_mut().ok_or_else(|| refuse("must be a JSON object"))?;
    let kind = fields.remove(KIND_FIELD);
    let kind = kind.as_ref().and_then(Value::as_str).and_then(RecordKind::from_name);
    let kind = kind.ok_or_else(|| refuse("field kind: must be service, target or data_centre"))?;
    let name = fields.get("name").and_then(Value::as_str);
    let name =
        SmolStr::new(name.ok_or_else(|| refuse("field name: must be the name of the record"))?);
    Ok(Declaration { file: Some(file.to_owned()), kind, name, body })
}

/// All records as the platform stores them.
#[derive(Clone, Debug, Default)]
pub struct CurrentRecords {
    /// All records as objects of the platform, ordered by kind and name.
    pub objects: Vec<Object>,
    /// Configuration snapshot of the valid records among them.
    pub config: Config,
}

impl CurrentRecords {
    /// Reads all records from the platform.
    ///
    /// # Errors
    ///
    /// Returns the error of the first listing that fails.
    pub async fn read(platform: &dyn Platform) -> Result<Self, PlatformError> {
        let mut objects = Vec::new();
        for kind in RecordKind::ALL {
            objects.extend(platform.list(kind.name()).await?.objects);
        }
        let (config, _) = Config::default().apply(&objects);
        Ok(Self { objects, config })
    }

    /// Returns the object of a record, or `None` if the platform has no such record.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&Object> {
        self.objects.iter().find(|object| object.kind == kind.name() && object.name == name)
    }

    /// Returns the edit that merges a declaration into the record in the platform. Fields that the
    /// declaration does not contain are kept, and fields that it sets to null are removed.
    ///
    /// # Errors
    ///
    /// Returns [`SchemaError`] when either schema version is invalid, or when the declaration's is
    /// older than the record's.
    pub fn edit(&self, declaration: &Declaration) -> Result<Edit, SchemaError> {
        let base = self.get(declaration.kind, &declaration.name).cloned();
        let mut wanted = match base.as_ref().and_then(|base| base.body.clone()) {
            Some(body) => {
                schema::check_no_downgrade(&body, &declaration.body)?;
                schema::convert(declaration.kind, body, schema::version(&declaration.body)?)?
            }
            None => Value::Object(serde_json::Map::new()),
        };
        merge_patch(&mut wanted, &declaration.body);
        Ok(Edit { kind: declaration.kind, name: declaration.name.clone(), base, wanted })
    }
}

/// Sets the field of a body at a dotted path, such as `cold_start.slots`. A null value removes the
/// field.
pub fn set_field(body: &mut Value, path: &str, value: Value) {
    let nested = path.rsplit('.').fold(value, |value, field| {
        Value::Object([(field.to_owned(), value)].into_iter().collect())
    });
    merge_patch(body, &nested);
}

/// Applies a JSON merge patch (RFC 7396): objects are merged, null removes a field, and any other
/// value replaces the old one.
fn merge_patch(body: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *body = patch.clone();
        return;
    };
    if !body.is_object() {
        *body = Value::Object(serde_json::Map::new());
    }
    let Some(fields) = body.as_object_mut() else { return };
    for (field, value) in patch {
        if value.is_null() {
            fields.remove(field);
        } else {
            merge_patch(fields.entry(field.clone()).or_insert(Value::Null), value);
        }
    }
}
