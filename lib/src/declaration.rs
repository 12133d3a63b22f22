//! Declarations of records in JSON files.

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

/// Field of a declaration that names its kind.
pub const KIND_FIELD: &str = "kind";

/// Reason why declarations cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// A file cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// File.
        file: PathBuf,
        /// Why.
        reason: String,
    },
    /// An entry of a file is no record.
    #[error("{file}: record {number}: {reason}")]
    NoRecord {
        /// File.
        file: PathBuf,
        /// Number of the entry, from 1.
        number: usize,
        /// Why, and how to mend it.
        reason: &'static str,
    },
}

/// Reads the declarations of a file, or of all `.json` files of a directory.
///
/// # Errors
///
/// Returns all faults of all files.
pub fn read(path: &Path) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let mut declared = Vec::new();
    let mut errors = Vec::new();
    for file in files(path).map_err(|err| vec![err])? {
        match read_file(&file) {
            Ok(values) => {
                for (index, value) in values.into_iter().enumerate() {
                    match parse(&file, index + 1, value) {
                        Ok(record) => declared.push(record),
                        Err(err) => errors.push(err),
                    }
                }
            }
            Err(err) => errors.push(err),
        }
    }
    if errors.is_empty() {
        return Ok(declared);
    }
    Err(errors)
}

fn files(path: &Path) -> Result<Vec<PathBuf>, DeclarationError> {
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
    let refuse = |reason| DeclarationError::NoRecord { file: file.to_owned(), number, reason };
    let fields = body.as_object_mut().ok_or_else(|| refuse("write a JSON object"))?;
    let kind = fields.remove(KIND_FIELD);
    let kind = kind.as_ref().and_then(Value::as_str).and_then(RecordKind::from_name);
    let kind = kind.ok_or_else(|| refuse("field kind: write service, target or data_centre"))?;
    let name = fields.get("name").and_then(Value::as_str);
    let name = SmolStr::new(name.ok_or_else(|| refuse("field name: write the record's name"))?);
    Ok(Declaration { file: Some(file.to_owned()), kind, name, body })
}

/// Records as the platform holds them.
#[derive(Clone, Debug, Default)]
pub struct CurrentRecords {
    /// Objects, ordered by kind and name.
    pub objects: Vec<Object>,
    /// Snapshot of them.
    pub config: Config,
}

impl CurrentRecords {
    /// Reads all records.
    ///
    /// # Errors
    ///
    /// Returns why the platform does not answer.
    pub async fn read(platform: &dyn Platform) -> Result<Self, PlatformError> {
        let mut objects = Vec::new();
        for kind in RecordKind::ALL {
            objects.extend(platform.list(kind.name()).await?.objects);
        }
        let (config, _) = Config::default().apply(&objects);
        Ok(Self { objects, config })
    }

    /// Returns a record.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&Object> {
        self.objects.iter().find(|object| object.kind == kind.name() && object.name == name)
    }

    /// Lays a declaration over the record in the platform: fields that it does not name stay, and
    /// fields that it sets to null go.
    ///
    /// # Errors
    ///
    /// Returns [`SchemaError`] when the schema versions do not fit.
    pub fn edit(&self, declared: &Declaration) -> Result<Edit, SchemaError> {
        let base = self.get(declared.kind, &declared.name).cloned();
        let mut wanted = match base.as_ref().and_then(|base| base.body.clone()) {
            Some(body) => {
                schema::check_no_downgrade(&body, &declared.body)?;
                schema::convert(declared.kind, body, schema::version(&declared.body)?)?
            }
            None => Value::Object(serde_json::Map::new()),
        };
        overlay(&mut wanted, &declared.body);
        Ok(Edit { kind: declared.kind, name: declared.name.clone(), base, wanted })
    }
}

/// Sets a field of a body by its path, such as `cold_start.slots`; null removes it.
pub fn set_field(body: &mut Value, path: &str, value: Value) {
    let nested = path.rsplit('.').fold(value, |value, field| {
        Value::Object([(field.to_owned(), value)].into_iter().collect())
    });
    overlay(body, &nested);
}

fn overlay(body: &mut Value, over: &Value) {
    let Value::Object(over) = over else {
        *body = over.clone();
        return;
    };
    if !body.is_object() {
        *body = Value::Object(serde_json::Map::new());
    }
    let Some(fields) = body.as_object_mut() else { return };
    for (field, value) in over {
        if value.is_null() {
            fields.remove(field);
        } else {
            overlay(fields.entry(field.clone()).or_insert(Value::Null), value);
        }
    }
}
