//! Immutable snapshot of the configuration: the newest valid version of every record.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use thiserror::Error;

use crate::config_digest::{leaf_of, record_key, ConfigDigest, RecordKey};
use crate::ids::Version;
use crate::platform::{Listing, Object};
use crate::record::{DataCentre, DataCentreState, RecordKind, Service, Target};
use crate::record_map::RecordMap;
use crate::schema;
use crate::service_targets::ServiceTargets;

/// Maximum length of a record's JSON text, in bytes. A record has to fit into one datagram between
/// instances.
pub const MAX_RECORD_BYTES: usize = 8_000;
/// Body stored and sent in place of one longer than [`MAX_RECORD_BYTES`]. It is not a valid record,
/// so every instance refuses that version.
pub const OVERSIZED_BODY_PLACEHOLDER: &str = "null";
const MISSING_FIELD_PREFIX: &str = "missing field";

/// Error of an object whose body is not a valid record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}/{name} version {version}: {reason}")]
pub struct RecordError {
    /// Kind of the object, such as `service`.
    pub kind: String,
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version of the object that was refused.
    pub version: Version,
    /// Cause of the error, with the name of the field if one field causes it.
    pub reason: String,
}

/// A record with the version that the platform assigned to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version of the platform's object store at the record's last change.
    pub version: Version,
    /// Parsed record; `None` when the record was deleted.
    pub record: Option<Arc<T>>,
    /// JSON text of the body as the platform stores it, with the fields that this build does not
    /// know; `None` when the record was deleted.
    pub body: Option<Arc<str>>,
}

/// A newer version of a record that is not valid. The last valid version stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Refused {
    body: Arc<str>,
    error: RecordError,
}

/// Newest version of a record, with its body as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Digest of the record's kind and name.
    pub key: RecordKey,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record, unique within its kind.
    pub name: SmolStr,
    /// Version of the platform's object store at the record's last change.
    pub version: Version,
    /// JSON text of the body, or `None` when the record was deleted.
    pub body: Option<Arc<str>>,
}

type Records<T> = RecordMap<Versioned<T>>;

/// Immutable snapshot of all records. The version of a record only increases, and a deleted record
/// is kept as a tombstone, so that an older version of it that arrives late is ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    version: Version,
    digest: ConfigDigest,
    services: Records<Service>,
    targets: Records<Target>,
    by_service: ServiceTargets,
    data_centres: Records<DataCentre>,
    refused: BTreeMap<(RecordKind, SmolStr), Refused>,
}

impl Config {
    /// Returns the largest version of any record in the snapshot, refused and deleted ones included;
    /// 0 for an empty snapshot.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the versions of all records, by which two instances find differences.
    pub fn digest(&self) -> &ConfigDigest {
        &self.digest
    }

    /// Returns the services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.iter().filter_map(|(_, entry)| entry.record.as_ref())
    }

    /// Returns the targets, ordered by name.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter().filter_map(|(_, entry)| entry.record.as_ref())
    }

    /// Returns the targets of a service, ordered by name.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service)
    }

    /// Returns the data centres, ordered by name.
    pub fn data_centres(&self) -> impl Iterator<Item = &Arc<DataCentre>> {
        self.data_centres.iter().filter_map(|(_, entry)| entry.record.as_ref())
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)?.record.as_ref()
    }

    /// Returns a target by name.
    pub fn target(&self, name: &str) -> Option<&Arc<Target>> {
        self.targets.get(name)?.record.as_ref()
    }

    /// Returns whether a data centre is in service. A data centre without a record is in service.
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        let record = self.data_centres.get(data_centre).and_then(|entry| entry.record.as_ref());
        record.is_none_or(|record| record.state == DataCentreState::In)
    }

    /// Returns the errors of the records whose newest version is refused.
    pub fn refused(&self) -> impl Iterator<Item = &RecordError> {
        self.refused.values().map(|refused| &refused.error)
    }

    /// Returns the newest known version of a record, even if it was refused; 0 when the record is
    /// unknown.
    pub fn version_of(&self, kind: RecordKind, name: &str) -> Version {
        if let Some(refused) = self.refused.get(&(kind, SmolStr::new(name))) {
            return refused.error.version;
        }
        self.accepted_version(kind, name)
    }

    /// Returns the newest version of each record in some leaves of the digest tree, including deleted
    /// and refused records.
    pub fn records_in(&self, leaves: &BTreeSet<u16>) -> Vec<StoredRecord> {
        let accepted = stored_records(RecordKind::Service, &self.services, leaves)
            .chain(stored_records(RecordKind::Target, &self.targets, leaves))
            .chain(stored_records(RecordKind::DataCentre, &self.data_centres, leaves));
        let refused = self.refused.iter().map(|((kind, name), refused)| StoredRecord {
            key: record_key(*kind, name),
            kind: *kind,
            name: name.clone(),
            version: refused.error.version,
            body: Some(Arc::clone(&refused.body)),
        });
        let refused: Vec<_> =
            refused.filter(|record| leaves.contains(&leaf_of(record.key))).collect();
        let is_replaced = |record: &StoredRecord| refused.iter().any(|r| r.key == record.key);
        let accepted: Vec<_> = accepted.filter(|record| !is_replaced(record)).collect();
        accepted.into_iter().chain(refused).collect()
    }

    /// Returns a new snapshot to which the objects are applied, and the errors of the refused ones.
    /// Objects of an unknown kind, and objects that are not newer than the known version, are
    /// ignored. A refused version is recorded, but the last valid one stays in force.
    pub fn apply(&self, objects: &[Object]) -> (Self, Vec<RecordError>) {
        let mut next = self.clone();
        let mut errors = Vec::new();
        for object in objects {
            if let Err(err) = next.apply_object(object) {
                errors.push(err);
            }
        }
        (next, errors)
    }

    /// Returns the deletions that a complete listing of a kind implies. A record was deleted if it is
    /// absent from the listing and its known version is not newer than the listing.
    pub fn deletions(&self, kind: RecordKind, listing: &Listing) -> Vec<Object> {
        let listed: BTreeSet<_> = listing.objects.iter().map(|object| &object.name).collect();
        let is_deleted =
            |name: &SmolStr, version: Version| version <= listing.version && !listed.contains(name);
        let live = match kind {
            RecordKind::Service => existing_records(&self.services),
            RecordKind::Target => existing_records(&self.targets),
            RecordKind::DataCentre => existing_records(&self.data_centres),
        };
        live.into_iter()
            .filter(|(name, _)| is_deleted(name, self.version_of(kind, name)))
            .map(|(name, _)| deletion(kind, name, listing.version))
            .collect()
    }

    /// Returns the number of records of a kind that are in force; deleted records do not count.
    pub fn len(&self, kind: RecordKind) -> usize {
        match kind {
            RecordKind::Service => self.services().count(),
            RecordKind::Target => self.targets().count(),
            RecordKind::DataCentre => self.data_centres().count(),
        }
    }

    fn accepted_version(&self, kind: RecordKind, name: &str) -> Version {
        match kind {
            RecordKind::Service => version_or_zero(&self.services, name),
            RecordKind::Target => version_or_zero(&self.targets, name),
            RecordKind::DataCentre => version_or_zero(&self.data_centres, name),
        }
    }

    fn apply_object(&mut self, object: &Object) -> Result<(), RecordError> {
        let Some(kind) = RecordKind::from_name(&object.kind) else { return Ok(()) };
        let known = self.version_of(kind, &object.name);
        if object.version <= known {
            return Ok(());
        }
        self.digest.replace(record_key(kind, &object.name), known, object.version);
        self.version = self.version.max(object.version);
        let applied = match kind {
            RecordKind::Service => apply_to(&mut self.services, kind, object),
            RecordKind::Target => self.apply_target(object),
            RecordKind::DataCentre => apply_to(&mut self.data_centres, kind, object),
        };
        let id = (kind, object.name.clone());
        match &applied {
            Ok(()) => drop(self.refused.remove(&id)),
            Err(err) => {
                let body = object.body.as_ref().map(ToString::to_string);
                let body = body.filter(|body| body.len() <= MAX_RECORD_BYTES);
                let body = body.unwrap_or_else(|| OVERSIZED_BODY_PLACEHOLDER.into());
                self.refused.insert(id, Refused { body: body.into(), error: err.clone() });
            }
        }
        applied
    }

    fn apply_target(&mut self, object: &Object) -> Result<(), RecordError> {
        let old = self.target(&object.name).cloned();
        apply_to(&mut self.targets, RecordKind::Target, object)?;
        let new = self.target(&object.name).cloned();
        self.by_service.replace(old.as_ref(), new.as_ref());
        Ok(())
    }
}

fn version_or_zero<T: Clone>(records: &Records<T>, name: &str) -> Version {
    records.get(name).map_or(0, |entry| entry.version)
}

fn existing_records<T: Clone>(records: &Records<T>) -> Vec<(SmolStr, Version)> {
    let live = records.iter().filter(|(_, entry)| entry.record.is_some());
    live.map(|(name, entry)| (name.clone(), entry.version)).collect()
}

fn stored_records<'a, T: Clone>(
    kind: RecordKind,
    records: &'a Records<T>,
    leaves: &'a BTreeSet<u16>,
) -> impl Iterator<Item = StoredRecord> + 'a {
    records.iter().filter_map(move |(name, entry)| {
        let key = record_key(kind, name);
        let (version, body) = (entry.version, &entry.body);
        let is_in_leaves = leaves.contains(&leaf_of(key));
        is_in_leaves.then(|| StoredRecord {
            key,
            kind,
            name: name.clone(),
            version,
            body: body.clone(),
        })
    })
}

fn deletion(kind: RecordKind, name: SmolStr, version: Version) -> Object {
    Object { kind: kind.name().into(), name, version, body: None }
}

fn apply_to<T: DeserializeOwned + Clone>(
    records: &mut Records<T>,
    kind: RecordKind,
    object: &Object,
) -> Result<(), RecordError> {
    let (record, body) = match &object.body {
        Some(body) => (Some(Arc::new(parse(kind, object, body)?)), Some(body.to_string().into())),
        None => (None, None),
    };
    let entry = Versioned { version: object.version, record, body };
    records.insert(object.name.clone(), entry);
    Ok(())
}

fn parse<T: DeserializeOwned>(
    kind: RecordKind,
    object: &Object,
    body: &serde_json::Value,
) -> Result<T, RecordError> {
    let refuse = |reason: String| RecordError {
        kind: object.kind.to_string(),
        name: object.name.to_string(),
        version: object.version,
        reason,
    };
    let bytes = body.to_string().len();
    if bytes > MAX_RECORD_BYTES {
        return Err(refuse(format!("has {bytes} bytes, more than {MAX_RECORD_BYTES}")));
    }
    if body.get("name").and_then(|name| name.as_str()) != Some(object.name.as_str()) {
        return Err(refuse("field name differs from the name of the object".into()));
    }
    let newest = schema::upgrade(kind, body.clone()).map_err(|err| refuse(err.to_string()))?;
    serde_json::from_value::<T>(newest.clone()).map_err(|err| {
        let reason = err.to_string();
        match invalid_field::<T>(&newest, &reason) {
            Some(field) => refuse(format!("field {field}: {reason}")),
            None => refuse(reason),
        }
    })
}

/// Returns the field that causes a deserialisation error: the first one whose removal changes or
/// clears the error. Returns `None` for a missing field, since that error names the field itself.
fn invalid_field<T: DeserializeOwned>(body: &serde_json::Value, reason: &str) -> Option<String> {
    if reason.starts_with(MISSING_FIELD_PREFIX) {
        return None;
    }
    let fields = body.as_object()?;
    let is_invalid = |field: &&String| {
        let mut without = fields.clone();
        without.remove(*field);
        let result = serde_json::from_value::<T>(without.into());
        result.map_or_else(|err| err.to_string() != reason, |_| true)
    };
    fields.keys().find(is_invalid).cloned()
}
