use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Algorithm;

/// Settings of a policy.
///
/// ```
/// use pomelogate::placement::Settings;
///
/// let settings = Settings { vms: 3, ..Settings::tail_weighted() };
/// assert!(settings.engine_time_weight < Settings::cost_weighted().engine_time_weight);
///
/// let read: Settings = serde_json::from_str(r#"{ "margin_ms": 250 }"#)?;
/// assert_eq!(read.spill_margin.as_millis(), 250);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How the policy chooses.
    #[serde(rename = "rule")]
    pub algorithm: Algorithm,
    /// The weight of a second of engine time against a second until the first token.
    #[serde(rename = "price")]
    pub engine_time_weight: f64,
    /// Seconds that a full batch adds to the cost of a target, for slower decoding.
    #[serde(rename = "crowding")]
    pub crowding_secs: f64,
    /// Targets drawn at random and compared, besides the best by affinity.
    #[serde(rename = "choices")]
    pub sampled_targets: usize,
    /// Prompt tokens that a target reads in a second.
    #[serde(rename = "prefill")]
    pub prefill_tokens_per_sec: f64,
    /// How long a request holds its place in a batch, until it is learned.
    #[serde(rename = "hold_ms", with = "crate::clock::millis")]
    pub initial_service_time: Duration,
    /// The time over which a new target's share of work grows to that of the others.
    #[serde(rename = "slow_start_ms", with = "crate::clock::millis")]
    pub slow_start: Duration,
    /// By how much another region must be better than this one.
    #[serde(rename = "margin_ms", with = "crate::clock::millis")]
    pub spill_margin: Duration,
    /// The part of another region's slots that spill leaves to that region's own callers.
    #[serde(rename = "reserve")]
    pub reserve_ratio: f64,
    /// The VMs of this region, which see the same summaries.
    pub vms: u32,
    /// Hashes of blocks that are remembered, over all targets.
    #[serde(rename = "blocks")]
    pub max_blocks: usize,
}

impl Settings {
    /// Settings that put a short time to the first token before cost.
    pub fn tail_weighted() -> Self {
        Self { engine_time_weight: 0.5, spill_margin: Duration::from_millis(50), ..Self::default() }
    }

    /// Settings that put engine time before the time to the first token.
    pub fn cost_weighted() -> Self {
        Self {
            engine_time_weight: 1.0,
            spill_margin: Duration::from_millis(100),
            ..Self::default()
        }
    }
}

impl Settings {
    /// What is wrong with the values, each with its field and range; empty where nothing is.
    ///
    /// ```
    /// use pomelogate::placement::Settings;
    ///
    /// let settings = Settings { reserve_ratio: 2.0, ..Settings::default() };
    /// assert_eq!(settings.faults(), ["`reserve` must be from 0 to 1"]);
    /// ```
    pub fn faults(&self) -> Vec<&'static str> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let weight = |value: f64| value.is_finite() && value >= 0.0;
        let checks = [
            (weight(self.engine_time_weight), "`price` must be 0 or more"),
            (weight(self.crowding_secs), "`crowding` must be 0 or more"),
            (positive(self.prefill_tokens_per_sec), "`prefill` must be more than 0"),
            ((0.0..=1.0).contains(&self.reserve_ratio), "`reserve` must be from 0 to 1"),
            (self.sampled_targets > 0, "`choices` must be 1 or more"),
            (self.max_blocks > 0, "`blocks` must be 1 or more"),
            (!self.initial_service_time.is_zero(), "`hold_ms` must be 1 or more"),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, fault)| fault).collect()
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
            vms: 1,
            max_blocks: 98_304,
        }
    }
}
