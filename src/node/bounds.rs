use std::time::Duration;

use serde::Deserialize;

use crate::clock::{millis, seconds};

/// What the operators of a deployment hold it to.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// How long a process may take to end after it was told to.
    #[serde(rename = "grace_s", with = "seconds")]
    pub shutdown_grace: Duration,
    /// Arrivals at a service beyond the first of each request, as a part of its requests.
    pub retry_ratio: f64,
    /// Arrivals allowed on top of that, over all VMs.
    pub retry_slack: f64,
    /// The span over which both are counted.
    #[serde(rename = "retry_window_s", with = "seconds")]
    pub retry_window: Duration,
    /// How long callers may keep an answer of the directory.
    #[serde(rename = "directory_ms", with = "millis")]
    pub directory_ttl: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            directory_ttl: Duration::from_secs(2),
        }
    }
}
