use std::time::Duration;

use serde::Deserialize;

use crate::clock::{millis, seconds};

/// Limits that the operators set for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time that a process may take to shut down.
    #[serde(rename = "grace_s", with = "seconds")]
    pub shutdown_grace: Duration,
    /// Attempts beyond the first one per request that a service may receive, as a ratio of its
    /// requests.
    pub retry_ratio: f64,
    /// Number of such attempts allowed in addition to `retry_ratio`, summed over all VMs.
    pub retry_slack: f64,
    /// Window over which requests and attempts are counted.
    #[serde(rename = "retry_window_s", with = "seconds")]
    pub retry_window: Duration,
    /// Time for which callers may cache a response of the directory.
    #[serde(rename = "directory_ms", with = "millis")]
    pub directory_ttl: Duration,
    /// Time after which a withdrawn key of an organisation must have stopped on every VM; zero if there is no
    /// bound.
    #[serde(rename = "key_withdrawal_ms", with = "millis")]
    pub key_withdrawal: Duration,
    /// The span in which the requests of an organisation are counted against its quota.
    #[serde(rename = "quota_window_s", with = "seconds")]
    pub quota_window: Duration,
    /// The part of a quota that may be exceeded in that span, as a ratio.
    pub quota_excess_ratio: f64,
    /// The units that may be exceeded on top.
    pub quota_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            directory_ttl: Duration::from_secs(2),
            key_withdrawal: Duration::ZERO,
            quota_window: Duration::from_secs(8),
            quota_excess_ratio: 0.0,
            quota_slack: 0.0,
        }
    }
}
