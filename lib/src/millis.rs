//! Serialisation of durations as whole milliseconds, for `#[serde(with = "crate::millis")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serialises a duration as milliseconds, rounded down.
///
/// # Errors
///
/// Returns an error when the serializer fails.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Deserialises a duration from milliseconds.
///
/// # Errors
///
/// Returns an error when the input is not an unsigned integer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Ok(Duration::from_millis(u64::deserialize(deserializer)?))
}
