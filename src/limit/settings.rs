use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a [`Limiter`](super::Limiter).
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
    /// The maximum number of requests that this VM runs at once, over all customers.
    pub concurrency: u32,
    /// The interactive requests admitted for each batch request while both wait.
    pub interactive_weight: u32,
    /// The share of a customer's concurrency that its batch requests may use, from 0 to 1.
    pub batch_share: f64,
    /// The time over which a customer can save up unused tokens.
    #[serde(rename = "burst_ms", with = "crate::clock::millis")]
    pub burst: Duration,
    /// The minimum `Retry-After` for a caller whose request finds its queue full.
    #[serde(rename = "retry_after_ms", with = "crate::clock::millis")]
    pub retry_after: Duration,
    /// The live VMs of this region, which share each customer's limits; set from membership.
    #[serde(skip)]
    pub vm_count: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            concurrency: 1024,
            interactive_weight: 4,
            batch_share: 0.75,
            burst: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
            vm_count: 1,
        }
    }
}
