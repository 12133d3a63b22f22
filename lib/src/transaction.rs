//! Conditional writes of records, made idempotent by an operation id.
//!
//! A write stores its operation id in the record's metadata. When the response to a write is lost,
//! the record is read back: if it has the operation id, the write took effect and is not repeated.

use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use thiserror::Error;

use crate::backoff::backoff;
use crate::ids::Version;
use crate::merge::{self, FieldConflict, METADATA_FIELD};
use crate::platform::{Object, Platform, PlatformError, Precondition};
use crate::random::Random;
use crate::record::RecordKind;
use crate::schema::{self, SchemaError};

/// Name of the metadata field that holds the id of the record's last operation.
pub const OPERATION_FIELD: &str = "operation";
/// Maximum number of attempts of one operation.
pub const MAX_ATTEMPTS: u32 = 8;
/// Delay added to the backoff before a retry, since the backoff's jitter may be 0 ms.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A change to one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: SmolStr,
    /// Record that the change is based on; `None` if the change creates the record.
    pub base: Option<Object>,
    /// Body of the record after the change.
    pub wanted: Value,
}

/// Result of an edit that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record already had the wanted body. Contains the record's version.
    Unchanged(Version),
    /// The record was written. Contains the record's new version.
    Written(Version),
}

/// Error of an edit that failed, or whose result is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransactionError {
    /// A concurrent write changed the same fields to other values.
    #[error(
        "{kind}/{name} was changed by someone else in the same fields:\n{}\n\
         read it again with `hollyhead get {kind} {name}` and repeat the change",
        format_conflicts(conflicts)
    )]
    Conflict {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
        /// Fields that both writes changed, with their values.
        conflicts: Vec<FieldConflict>,
    },
    /// A concurrent write created or deleted the record.
    #[error(
        "{kind}/{name} was created or deleted by someone else; read it again and repeat the change"
    )]
    Replaced {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
    },
    /// The write's schema version is invalid, or older than the record's.
    #[error("{kind}/{name}: {source}")]
    Schema {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
        /// Error in the schema version.
        source: SchemaError,
    },
    /// The platform refused the write or did not respond. In the latter case, the write may or may
    /// not have taken effect.
    #[error("{0}; the change may have taken effect; it is safe to repeat it")]
    Platform(#[from] PlatformError),
}

fn format_conflicts(conflicts: &[FieldConflict]) -> String {
    conflicts.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Writes records to the platform, with retries and merges.
pub struct RecordWriter<'a> {
    platform: &'a dyn Platform,
    random: &'a dyn Random,
}

impl<'a> RecordWriter<'a> {
    /// Creates a writer. The operation ids and the jitter of retries come from `random`.
    pub fn new(platform: &'a dyn Platform, random: &'a dyn Random) -> Self {
        Self { platform, random }
    }

    /// Reads a record; returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns any platform error except [`PlatformError::NotFound`].
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

    /// Applies an edit. If a concurrent write changed other fields of the record, the edit is merged
    /// with that write and retried.
    ///
    /// # Errors
    ///
    /// Returns why the edit was not applied; after [`TransactionError::Platform`], it may have been
    /// applied.
    pub async fn write(&self, mut edit: Edit) -> Result<Outcome, TransactionError> {
        let operation = format!("{:016x}{:016x}", self.random.next(), self.random.next());
        let mut attempts = 0;
        loop {
            if let Some(base) =
                edit.base.as_ref().filter(|base| has_wanted_body(base, &edit.wanted))
            {
                return Ok(Outcome::Unchanged(base.version));
            }
            edit.check_schema()?;
            let err = match self.put(&edit, &operation).await {
                Ok(version) => return Ok(Outcome::Written(version)),
                Err(err) => err,
            };
            attempts += 1;
            let is_response_lost = matches!(err, PlatformError::Unavailable(_));
            if attempts >= MAX_ATTEMPTS
                || !(is_response_lost || matches!(err, PlatformError::Conflict { .. }))
            {
                return Err(err.into());
            }
            if is_response_lost {
                tokio::time::sleep(MIN_RETRY_DELAY + backoff(self.random, attempts)).await;
            }
            let current = match self.read(edit.kind, &edit.name).await {
                Ok(current) => current,
                Err(PlatformError::Unavailable(_)) => continue,
                Err(err) => return Err(err.into()),
            };
            if let Some(object) =
                current.as_ref().filter(|object| was_written_by(object, &operation))
            {
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

    /// Rebases the edit onto the current record by a three-way merge. All three bodies are first
    /// converted to the newer of the schema versions of the edit and the current record.
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

fn has_wanted_body(base: &Object, wanted: &Value) -> bool {
    merge::diff(base.body.as_ref(), wanted).is_empty()
}

fn was_written_by(object: &Object, operation: &str) -> bool {
    let body = object.body.as_ref();
    body.is_some_and(|body| body[METADATA_FIELD][OPERATION_FIELD] == operation)
}
