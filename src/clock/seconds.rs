//! Serializes a `Duration` as seconds with fractions.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Writes a duration as seconds.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(duration.as_secs_f64())
}

/// Reads a duration from seconds.
///
/// # Errors
///
/// If the value is not a number or not a valid duration.
pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::try_from_secs_f64(f64::deserialize(deserializer)?).map_err(D::Error::custom)
}
