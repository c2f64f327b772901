use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Rule;

/// Settings of a policy.
///
/// ```
/// use pomelogate::place::Settings;
///
/// let settings = Settings { vms: 3, ..Settings::tail_weighted() };
/// assert!(settings.price < Settings::cost_weighted().price);
///
/// let read: Settings = serde_json::from_str(r#"{ "margin_ms": 250 }"#)?;
/// assert_eq!(read.margin.as_millis(), 250);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How the policy chooses.
    pub rule: Rule,
    /// The weight of a second of engine time against a second until the first token.
    pub price: f64,
    /// Seconds that a full batch adds to the cost of a target, for slower decoding.
    pub crowding: f64,
    /// Targets drawn at random and compared, besides the best by affinity.
    pub choices: usize,
    /// Prompt tokens that a target reads in a second.
    pub prefill: f64,
    /// How long a request holds its place in a batch, until it is learned.
    #[serde(rename = "hold_ms", with = "crate::clock::millis")]
    pub hold: Duration,
    /// The time over which a new target's share of work grows to that of the others.
    #[serde(rename = "slow_start_ms", with = "crate::clock::millis")]
    pub slow_start: Duration,
    /// By how much another region must be better than this one.
    #[serde(rename = "margin_ms", with = "crate::clock::millis")]
    pub margin: Duration,
    /// The part of another region's slots that spill leaves to that region's own callers.
    pub reserve: f64,
    /// The VMs of this region, which see the same summaries.
    pub vms: u32,
    /// Hashes of blocks that are remembered, over all targets.
    pub blocks: usize,
}

impl Settings {
    /// Settings that put a short time to the first token before cost.
    pub fn tail_weighted() -> Self {
        Self { price: 0.5, margin: Duration::from_millis(50), ..Self::default() }
    }

    /// Settings that put engine time before the time to the first token.
    pub fn cost_weighted() -> Self {
        Self { price: 1.0, margin: Duration::from_millis(100), ..Self::default() }
    }
}

impl Settings {
    /// What is wrong with the values, each with its field and range; empty where nothing is.
    ///
    /// ```
    /// use pomelogate::place::Settings;
    ///
    /// let settings = Settings { reserve: 2.0, ..Settings::default() };
    /// assert_eq!(settings.faults(), ["`reserve` must be from 0 to 1"]);
    /// ```
    pub fn faults(&self) -> Vec<&'static str> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let weight = |value: f64| value.is_finite() && value >= 0.0;
        let checks = [
            (weight(self.price), "`price` must be 0 or more"),
            (weight(self.crowding), "`crowding` must be 0 or more"),
            (positive(self.prefill), "`prefill` must be more than 0"),
            ((0.0..=1.0).contains(&self.reserve), "`reserve` must be from 0 to 1"),
            (self.choices > 0, "`choices` must be 1 or more"),
            (self.blocks > 0, "`blocks` must be 1 or more"),
            (!self.hold.is_zero(), "`hold_ms` must be 1 or more"),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, fault)| fault).collect()
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rule: Rule::LeastCost,
            price: 1.0,
            crowding: 0.5,
            choices: 4,
            prefill: 8000.0,
            hold: Duration::from_secs(4),
            slow_start: Duration::from_secs(10),
            margin: Duration::from_millis(100),
            reserve: 0.15,
            vms: 1,
            blocks: 98_304,
        }
    }
}
