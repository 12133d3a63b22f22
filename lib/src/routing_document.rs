//! Decoding of routing documents into [`Routing`], with the faults of all entries that cannot be
//! used.
//!
//! A platform client decodes its own format of documents. Instances and the operators' check call
//! the same decoder, [`RoutingDecoder`], so that they agree on what is accepted.

use std::fmt;

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{format_smolstr, SmolStr};

use crate::ids::{RouteId, ServiceId};
use crate::route::{FlowLimits, Route, RoutedService, Routing};

/// Field of a document that holds its version.
pub const VERSION_FIELD: &str = "version";
/// Field of a document that holds its routes.
pub const ROUTES_FIELD: &str = "routes";
/// Field of a document that holds its services.
pub const SERVICES_FIELD: &str = "services";
/// Field of a document that holds its limits.
pub const LIMITS_FIELD: &str = "limits";

/// Decodes a routing document in the format of a platform client.
pub type RoutingDecoder = fn(&Value) -> Result<DecodedRouting, RoutingError>;

value_type! {
    /// Entry of a routing document.
    #[serde(rename_all = "snake_case")]
    pub enum RoutingEntry {
        /// The document as a whole.
        Document,
        /// The version of the document.
        Version,
        /// The limits on all flows.
        Limits,
        /// A route.
        Route {
            /// Position in the document's list of routes, counted from 0.
            index: usize,
            /// Name of the route; empty if it has none.
            name: RouteId,
        },
        /// A service.
        Service {
            /// Position in the document's list of services, counted from 0.
            index: usize,
            /// Name of the service; empty if it has none.
            name: ServiceId,
        },
    }

    /// Entry of a routing document that cannot be used, with the reason.
    pub struct EntryFault {
        /// The entry.
        pub entry: RoutingEntry,
        /// Reason why it cannot be used.
        pub reason: SmolStr,
    }

    /// Routing that a document contains.
    pub struct DecodedRouting {
        /// Routing without the skipped entries.
        pub routing: Routing,
        /// Entries that are left out of the routing, in the order of the document.
        pub skipped: Vec<EntryFault>,
    }

    /// Reason why a whole document is refused.
    pub struct RoutingError {
        /// Faults of all entries, those of routes and of services in the order of the document; at
        /// least one.
        pub faults: Vec<EntryFault>,
    }
}

impl fmt::Display for RoutingEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutingEntry::Document => f.write_str("document"),
            RoutingEntry::Version => f.write_str(VERSION_FIELD),
            RoutingEntry::Limits => f.write_str(LIMITS_FIELD),
            RoutingEntry::Route { index, name } => write_named(f, "route", *index, name),
            RoutingEntry::Service { index, name } => write_named(f, "service", *index, name),
        }
    }
}

/// Writes a kind of entry with its name, or with its number if it has no name.
fn write_named(f: &mut fmt::Formatter<'_>, kind: &str, index: usize, name: &str) -> fmt::Result {
    if name.is_empty() {
        write!(f, "{kind} number {}", index + 1)
    } else {
        write!(f, "{kind} {name}")
    }
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entry, self.reason)
    }
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for RoutingError {}

impl RoutingError {
    /// Finds the faults of a document that was refused with `cause`, by decoding its routes,
    /// services and limits one by one as `R`, `S` and `L`.
    pub fn new<R, S, L>(document: &Value, cause: &serde_json::Error) -> Self
    where
        R: DeserializeOwned,
        S: DeserializeOwned,
        L: DeserializeOwned,
    {
        let mut faults = Vec::new();
        faults.extend(field_fault::<u64>(document, VERSION_FIELD, RoutingEntry::Version));
        faults.extend(list_faults::<R>(document, ROUTES_FIELD, |index, name| {
            RoutingEntry::Route { index, name }
        }));
        faults.extend(list_faults::<S>(document, SERVICES_FIELD, |index, name| {
            RoutingEntry::Service { index, name }
        }));
        faults.extend(field_fault::<L>(document, LIMITS_FIELD, RoutingEntry::Limits));
        if faults.is_empty() {
            let reason = format_smolstr!("{cause}");
            faults.push(EntryFault { entry: RoutingEntry::Document, reason });
        }
        Self { faults }
    }
}

/// Decodes a document in hollyhead's own format, the JSON of [`Routing`].
///
/// # Errors
///
/// Returns the faults of all entries if a required field is missing or a field has an invalid value.
pub fn decode(document: &Value) -> Result<DecodedRouting, RoutingError> {
    match Routing::deserialize(document) {
        Ok(routing) => Ok(DecodedRouting { routing, skipped: Vec::new() }),
        Err(cause) => Err(RoutingError::new::<Route, RoutedService, FlowLimits>(document, &cause)),
    }
}

/// Returns the fault of a field of the document, if it is missing or is no `T`.
fn field_fault<T: DeserializeOwned>(
    document: &Value,
    field: &str,
    entry: RoutingEntry,
) -> Option<EntryFault> {
    let reason = match document.get(field) {
        Some(value) => format_smolstr!("{}", T::deserialize(value).err()?),
        None => format_smolstr!("missing field `{field}`"),
    };
    Some(EntryFault { entry, reason })
}

/// Returns the faults of a list of the document, if it is missing, or of those of its entries that
/// are no `T`.
fn list_faults<T: DeserializeOwned>(
    document: &Value,
    field: &str,
    entry: impl Fn(usize, SmolStr) -> RoutingEntry,
) -> Vec<EntryFault> {
    let Some(entries) = document.get(field).and_then(Value::as_array) else {
        let fault = field_fault::<Vec<IgnoredAny>>(document, field, RoutingEntry::Document);
        return fault.into_iter().collect();
    };
    let faults = entries.iter().enumerate().filter_map(|(index, value)| {
        let reason = format_smolstr!("{}", T::deserialize(value).err()?);
        Some(EntryFault { entry: entry(index, name(value)), reason })
    });
    faults.collect()
}

/// Returns the name of an entry, or an empty name if it has none.
fn name(entry: &Value) -> SmolStr {
    entry.get("name").and_then(Value::as_str).unwrap_or_default().into()
}
