use std::time::Duration;

use super::Rule;

/// Settings of a policy.
///
/// ```
/// use pomelogate::place::Settings;
///
/// let settings = Settings { vms: 3, ..Settings::tail_weighted() };
/// assert!(settings.price < Settings::cost_weighted().price);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
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
    pub hold: Duration,
    /// The time over which a new target's share of work grows to that of the others.
    pub slow_start: Duration,
    /// By how much another region must be better than this one.
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
            blocks: 262_144,
        }
    }
}
