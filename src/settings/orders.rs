use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, order};

/// How long an order may take to reach its target.
const DEADLINE: Duration = Duration::from_millis(400);
/// The longest lease of any VM: the least time without a leader before replicas vote.
const LEASE: Duration = Duration::from_secs(1);

/// Orders to load and unload models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// The models that may be loaded; without any, no orders are given.
    pub weights: Vec<Stock>,
    /// Loads that the weight store of a region serves within the window.
    pub loads: usize,
    /// Milliseconds over which loads are counted.
    pub window_ms: u64,
    /// Milliseconds for which a target that refused or didn't answer is left alone.
    pub refusal_pause_ms: u64,
    /// Milliseconds that a model stays on a target at least.
    pub residence_ms: u64,
    /// Milliseconds that a load may take.
    pub patience_ms: u64,
}

/// A model in the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stock {
    /// The model.
    pub model: id::Model,
    /// The version of its weights.
    pub version: id::Version,
    /// The targets to keep in each region that an allowance permits.
    pub minimum: usize,
}

impl Orders {
    /// The settings of a controller.
    ///
    /// ```
    /// let orders = pomelogate::settings::Orders { loads: 2, ..Default::default() };
    /// assert_eq!(orders.settings().loads, 2);
    /// ```
    pub fn settings(&self) -> order::Settings {
        order::Settings {
            loads: self.loads,
            window: Duration::from_millis(self.window_ms),
            refusal_pause: Duration::from_millis(self.refusal_pause_ms),
            residence: Duration::from_millis(self.residence_ms),
            patience: Duration::from_millis(self.patience_ms),
            deadline: DEADLINE,
            lease: LEASE,
            ..order::Settings::default()
        }
    }
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            weights: Vec::new(),
            loads: 4,
            window_ms: 60_000,
            refusal_pause_ms: 120_000,
            residence_ms: 600_000,
            patience_ms: 300_000,
        }
    }
}
