use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a gate.
///
/// ```
/// use pomelogate::limit::Settings;
///
/// let settings = Settings { concurrency: 64, ..Settings::default() };
/// assert_eq!(settings.interactive_weight, 4);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Requests that this VM runs at once, of all customers.
    pub concurrency: u32,
    /// Interactive requests admitted for each batch request while both wait.
    pub interactive_weight: u32,
    /// The part of a customer's concurrency that its batch requests may hold, from 0 to 1.
    pub batch_share: f64,
    /// The time over which a customer may save up unused tokens.
    #[serde(rename = "burst_ms", with = "crate::clock::millis")]
    pub burst: Duration,
    /// The least time that a refused caller is told to wait.
    #[serde(rename = "retry_after_ms", with = "crate::clock::millis")]
    pub retry_after: Duration,
    /// The VMs of this region that share each customer's limits; membership tells how many.
    #[serde(skip)]
    pub vms: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            concurrency: 1024,
            interactive_weight: 4,
            batch_share: 0.75,
            burst: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
            vms: 1,
        }
    }
}
