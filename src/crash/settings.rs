use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a ledger.
///
/// ```
/// assert_eq!(pomelogate::crash::Settings::default().max_deaths, 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Deaths of targets after which a request is refused.
    #[serde(rename = "deaths")]
    pub max_deaths: usize,
    /// How long a death counts, and so how long a request is refused after the last.
    #[serde(rename = "memory_ms", with = "crate::clock::millis")]
    pub death_retention: Duration,
    /// Requests that are remembered at most; the oldest are forgotten first.
    #[serde(rename = "records")]
    pub max_records: usize,
}

impl Settings {
    /// For targets of routes: what is in flight at one crash or two by bad luck is far more frequent
    /// than what causes them, and a request that crashes targets comes again within seconds.
    pub fn for_routes() -> Self {
        Self { max_deaths: 3, death_retention: Duration::from_secs(120), ..Self::default() }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self { max_deaths: 2, death_retention: Duration::from_secs(600), max_records: 4096 }
    }
}
