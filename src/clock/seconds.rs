//! Durations as seconds, with fractions, in settings files.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Writes a duration as seconds.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(time.as_secs_f64())
}

/// Reads a duration from seconds.
///
/// # Errors
///
/// Where there is no number, or one that no duration has.
pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::try_from_secs_f64(f64::deserialize(deserializer)?).map_err(D::Error::custom)
}
