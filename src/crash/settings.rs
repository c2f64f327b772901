use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a ledger.
///
/// ```
/// assert_eq!(pomelogate::crash::Settings::default().deaths, 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Deaths of targets after which a request is refused.
    pub deaths: usize,
    /// How long a death counts, and so how long a request is refused after the last.
    #[serde(rename = "memory_ms", with = "crate::clock::millis")]
    pub memory: Duration,
    /// Requests that are remembered at most; the oldest are forgotten first.
    pub records: usize,
}

impl Settings {
    /// For targets of routes: what is in flight at one crash or two by bad luck is far more frequent
    /// than what causes them, and a request that crashes targets comes again within seconds.
    pub fn of_routes() -> Self {
        Self { deaths: 3, memory: Duration::from_secs(120), ..Self::default() }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self { deaths: 2, memory: Duration::from_secs(600), records: 4096 }
    }
}
