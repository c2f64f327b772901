//! Serializes a `Duration` as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes a duration as milliseconds.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a duration from milliseconds.
///
/// # Errors
///
/// If the value is not a whole number.
pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
