use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a [`CrashTracker`](super::CrashTracker).
///
/// ```
/// assert_eq!(pomelogate::crash::Settings::default().max_deaths, 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The number of target deaths at which a request is refused.
    #[serde(rename = "deaths")]
    pub max_deaths: usize,
    /// How long a death counts, and so how long a request is refused after the last death.
    #[serde(rename = "memory_ms", with = "crate::clock::millis")]
    pub death_retention: Duration,
    /// The maximum number of requests to track; the oldest are dropped first.
    #[serde(rename = "records")]
    pub max_records: usize,
}

impl Settings {
    /// Settings for the targets of routes. A request is in flight at one or two crashes by chance
    /// far more often than it causes them, so only the third death refuses it; a request that does
    /// crash targets is repeated within seconds, so deaths are kept only briefly.
    pub fn for_routes() -> Self {
        Self { max_deaths: 3, death_retention: Duration::from_secs(120), ..Self::default() }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self { max_deaths: 2, death_retention: Duration::from_secs(600), max_records: 4096 }
    }
}
