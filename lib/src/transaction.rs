//! Conditional writes of records, each with an operation id.
//!
//! The operation id stands in the record's metadata. When the answer of a write is lost, the record
//! is read back, and its operation id tells whether the write took effect.

use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::Version;
use crate::merge::{self, FieldConflict};
use crate::platform::{Object, Platform, PlatformError, Precondition};
use crate::platform_sync::backoff;
use crate::random::Random;
use crate::record::RecordKind;
use crate::schema::{self, SchemaError};

/// Field of a record that holds its metadata.
pub const METADATA_FIELD: &str = "metadata";
/// Field of the metadata that holds the id of the last operation.
pub const OPERATION_FIELD: &str = "operation";
/// Largest number of tries of one operation.
pub const MAX_TRIES: u32 = 8;
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// A wanted change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: SmolStr,
    /// Record that the change was made to; `None` when there was none.
    pub base: Option<Object>,
    /// Body as it should be.
    pub wanted: Value,
}

/// What came of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record was as wanted already, in this version.
    Unchanged(Version),
    /// The record was written, with this version.
    Written(Version),
}

/// Reason why an edit was not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransactionError {
    /// Someone else changed the same fields.
    #[error(
        "{kind}/{name} was changed by someone else in the same fields:\n{}\n\
         read it again with `hollyhead get {kind} {name}` and repeat the change",
        list(conflicts)
    )]
    Conflict {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
        /// Fields that both changed.
        conflicts: Vec<FieldConflict>,
    },
    /// Someone else created or deleted the record.
    #[error("{kind}/{name} was created or deleted by someone else: read it again and repeat")]
    Replaced {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
    },
    /// The schema version does not allow the write.
    #[error("{kind}/{name}: {source}")]
    Schema {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
        /// Why.
        source: SchemaError,
    },
    /// The platform did not answer; the write may or may not have taken effect.
    #[error("{0}; the change may have taken effect: repeat it, which is safe")]
    Platform(#[from] PlatformError),
}

fn list(conflicts: &[FieldConflict]) -> String {
    conflicts.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Writes records to the platform.
pub struct RecordWriter<'a> {
    platform: &'a dyn Platform,
    random: &'a dyn Random,
}

impl<'a> RecordWriter<'a> {
    /// Creates a writer whose operation ids come from `random`.
    pub fn new(platform: &'a dyn Platform, random: &'a dyn Random) -> Self {
        Self { platform, random }
    }

    /// Reads a record; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns why the platform cannot tell.
    pub async fn read(
        &self,
        kind: RecordKind,
        name: &str,
    ) -> Result<Option<Object>, PlatformError> {
        match self.platform.get(kind.name(), name).await {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound { .. }) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Makes an edit, merged with what others have changed in other fields meanwhile.
    ///
    /// # Errors
    ///
    /// Returns why the edit was not made, or that this is not known.
    pub async fn write(&self, mut edit: Edit) -> Result<Outcome, TransactionError> {
        let operation = format!("{:016x}{:016x}", self.random.next(), self.random.next());
        let mut tries = 0;
        loop {
            if let Some(base) = edit.base.as_ref().filter(|base| is_same(base, &edit.wanted)) {
                return Ok(Outcome::Unchanged(base.version));
            }
            edit.check_schema()?;
            let err = match self.put(&edit, &operation).await {
                Ok(version) => return Ok(Outcome::Written(version)),
                Err(err) => err,
            };
            tries += 1;
            let is_lost = matches!(err, PlatformError::Unavailable(_));
            if tries >= MAX_TRIES || !(is_lost || matches!(err, PlatformError::Conflict { .. })) {
                return Err(err.into());
            }
            if is_lost {
                tokio::time::sleep(MIN_PAUSE + backoff(self.random, tries)).await;
            }
            let current = match self.read(edit.kind, &edit.name).await {
                Ok(current) => current,
                Err(PlatformError::Unavailable(_)) => continue,
                Err(err) => return Err(err.into()),
            };
            if let Some(object) = current.as_ref().filter(|object| is_by(object, &operation)) {
                return Ok(Outcome::Written(object.version));
            }
            edit = edit.rebase(current)?;
        }
    }

    async fn put(&self, edit: &Edit, operation: &str) -> Result<Version, PlatformError> {
        let mut body = edit.wanted.clone();
        if let Some(fields) = body.as_object_mut() {
            let metadata = fields.entry(METADATA_FIELD).or_insert_with(|| json!({}));
            if let Some(metadata) = metadata.as_object_mut() {
                metadata.insert(OPERATION_FIELD.into(), operation.into());
            }
        }
        let condition = match &edit.base {
            Some(base) => Precondition::Version(base.version),
            None => Precondition::Absent,
        };
        self.platform.put(edit.kind.name(), &edit.name, body, condition).await
    }
}

impl Edit {
    fn check_schema(&self) -> Result<(), TransactionError> {
        let Some(base) = self.base.as_ref().and_then(|base| base.body.as_ref()) else {
            return Ok(());
        };
        schema::check_no_downgrade(base, &self.wanted).map_err(|source| self.schema_error(source))
    }

    fn schema_error(&self, source: SchemaError) -> TransactionError {
        TransactionError::Schema { kind: self.kind.name(), name: self.name.clone(), source }
    }

    /// Moves the edit onto a newer record. All sides are converted to the newest schema version of
    /// them before they are merged.
    fn rebase(self, current: Option<Object>) -> Result<Self, TransactionError> {
        let (kind, name) = (self.kind.name(), self.name.clone());
        let (base, theirs) = match (self.base.as_ref(), &current) {
            (None, None) => return Ok(self),
            (Some(base), Some(theirs)) => (base, theirs),
            _ => return Err(TransactionError::Replaced { kind, name }),
        };
        if base.version == theirs.version {
            return Ok(self);
        }
        let bodies = [base.body.clone(), Some(self.wanted.clone()), theirs.body.clone()];
        let [base, mine, theirs] = bodies.map(Option::unwrap_or_default);
        let versions = [&mine, &theirs].map(|body| schema::version(body).unwrap_or_default());
        let newest = versions.into_iter().max().unwrap_or_default();
        let convert = |body| {
            schema::convert(self.kind, body, newest).map_err(|source| self.schema_error(source))
        };
        let (base, mine, theirs) = (convert(base)?, convert(mine)?, convert(theirs)?);
        match merge::three_way(&base, &mine, &theirs) {
            Ok(wanted) => Ok(Self { base: current, wanted, ..self }),
            Err(conflicts) => Err(TransactionError::Conflict { kind, name, conflicts }),
        }
    }
}

fn is_same(base: &Object, wanted: &Value) -> bool {
    merge::diff(base.body.as_ref(), wanted).is_empty()
}

fn is_by(object: &Object, operation: &str) -> bool {
    let body = object.body.as_ref();
    body.is_some_and(|body| body[METADATA_FIELD][OPERATION_FIELD] == operation)
}
