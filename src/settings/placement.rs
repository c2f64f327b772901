use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::placement;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// What placement puts first.
    pub preset: Preset,
    /// Milliseconds that a message takes to another region.
    pub region_ms: u64,
    /// Milliseconds that a message takes to another availability zone of the region.
    pub zone_ms: u64,
    /// The part of a region's places in batches that is kept for its own callers, from 0 to 1.
    pub reserve: f64,
    /// Milliseconds over which a new target's share of work grows to that of the others.
    pub slow_start_ms: u64,
}

/// What placement puts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// A short time to the first token, also for the slowest requests.
    #[default]
    TailWeighted,
    /// Little engine time.
    CostWeighted,
}

impl Placement {
    /// The settings of the policies.
    ///
    /// ```
    /// use pomelogate::settings::{Placement, Preset};
    ///
    /// let placement = Placement { preset: Preset::CostWeighted, ..Placement::default() };
    /// assert!(placement.policy().engine_time_weight > Placement::default().policy().engine_time_weight);
    /// ```
    pub fn policy(&self) -> placement::Settings {
        let preset = match self.preset {
            Preset::TailWeighted => placement::Settings::tail_weighted(),
            Preset::CostWeighted => placement::Settings::cost_weighted(),
        };
        let slow_start = Duration::from_millis(self.slow_start_ms);
        placement::Settings { reserve_ratio: self.reserve, slow_start, ..preset }
    }

    /// How far another region is.
    pub fn region_distance(&self) -> Duration {
        Duration::from_millis(self.region_ms)
    }

    /// How far a target of the region is, in this VM's availability zone or in another.
    pub fn zone_distance(&self, same: bool) -> Duration {
        if same { Duration::ZERO } else { Duration::from_millis(self.zone_ms) }
    }
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            preset: Preset::default(),
            region_ms: 55,
            zone_ms: 1,
            reserve: 0.15,
            slow_start_ms: 10_000,
        }
    }
}
