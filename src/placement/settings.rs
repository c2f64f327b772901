use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Algorithm;

/// Settings of a [`Policy`](super::Policy).
///
/// ```
/// use pomelogate::placement::Settings;
///
/// let settings = Settings { vm_count: 3, ..Settings::tail_weighted() };
/// assert!(settings.engine_time_weight < Settings::cost_weighted().engine_time_weight);
///
/// let read: Settings = serde_json::from_str(r#"{ "margin_ms": 250 }"#)?;
/// assert_eq!(read.spill_margin.as_millis(), 250);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How the policy chooses among the candidates.
    #[serde(rename = "rule")]
    pub algorithm: Algorithm,
    /// The weight of a second of engine time relative to a second until the first token.
    #[serde(rename = "price")]
    pub engine_time_weight: f64,
    /// The cost of a full batch, which slows down decoding; a partly full batch costs its share of
    /// it.
    #[serde(rename = "crowding")]
    pub crowding_secs: f64,
    /// The number of random candidates to compare, besides the cheapest one with a cache hit.
    #[serde(rename = "choices")]
    pub sampled_targets: usize,
    /// The prompt tokens that a target reads per second.
    #[serde(rename = "prefill")]
    pub prefill_tokens_per_sec: f64,
    /// The initial value for the moving average of how long a request occupies a slot.
    #[serde(rename = "hold_ms", with = "crate::clock::millis")]
    pub initial_service_time: Duration,
    /// The time over which a new target's share of requests grows to that of the others.
    #[serde(rename = "slow_start_ms", with = "crate::clock::millis")]
    pub slow_start: Duration,
    /// How much cheaper than this region another region must be for a request to spill.
    #[serde(rename = "margin_ms", with = "crate::clock::millis")]
    pub spill_margin: Duration,
    /// The share of another region's slots that spill leaves free for that region's own callers,
    /// from 0 to 1.
    #[serde(rename = "reserve")]
    pub reserve_ratio: f64,
    /// The number of VMs in this region, which all see the same reports and summaries.
    #[serde(rename = "vms")]
    pub vm_count: u32,
    /// The maximum number of block hashes kept for all targets together.
    #[serde(rename = "blocks")]
    pub max_blocks: usize,
}

impl Settings {
    /// Settings that favour a short time to the first token over cost.
    pub fn tail_weighted() -> Self {
        Self { engine_time_weight: 0.5, spill_margin: Duration::from_millis(50), ..Self::default() }
    }

    /// Settings that favour little engine time over a short time to the first token.
    pub fn cost_weighted() -> Self {
        Self {
            engine_time_weight: 1.0,
            spill_margin: Duration::from_millis(100),
            ..Self::default()
        }
    }
}

impl Settings {
    /// Checks the values. Each message names the invalid setting and its range; empty if all are
    /// valid.
    ///
    /// ```
    /// use pomelogate::placement::Settings;
    ///
    /// let settings = Settings { reserve_ratio: 2.0, ..Settings::default() };
    /// assert_eq!(settings.faults(), ["`reserve` must be from 0 to 1"]);
    /// ```
    pub fn faults(&self) -> Vec<&'static str> {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_weight = |value: f64| value.is_finite() && value >= 0.0;
        let checks = [
            (is_weight(self.engine_time_weight), "`price` must be 0 or more"),
            (is_weight(self.crowding_secs), "`crowding` must be 0 or more"),
            (is_positive(self.prefill_tokens_per_sec), "`prefill` must be more than 0"),
            ((0.0..=1.0).contains(&self.reserve_ratio), "`reserve` must be from 0 to 1"),
            (self.sampled_targets > 0, "`choices` must be 1 or more"),
            (self.max_blocks > 0, "`blocks` must be 1 or more"),
            (!self.initial_service_time.is_zero(), "`hold_ms` must be 1 or more"),
        ];
        checks.into_iter().filter(|(valid, _)| !valid).map(|(_, fault)| fault).collect()
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            algorithm: Algorithm::LeastCost,
            engine_time_weight: 1.0,
            crowding_secs: 0.5,
            sampled_targets: 4,
            prefill_tokens_per_sec: 8000.0,
            initial_service_time: Duration::from_secs(4),
            slow_start: Duration::from_secs(10),
            spill_margin: Duration::from_millis(100),
            reserve_ratio: 0.15,
            vm_count: 1,
            max_blocks: 98_304,
        }
    }
}
