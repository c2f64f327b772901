use std::time::Duration;

/// The settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of the loaded targets' capacity above which one more is loaded.
    pub high: f64,
    /// Share of the remaining targets' capacity below which one is given up.
    pub low: f64,
    /// How long weights stay on a target at least.
    pub residence: Duration,
    /// How long a target that refused or didn't answer is left alone.
    pub refusal_pause: Duration,
    /// Loads that the weight store serves within [`Settings::window`].
    pub loads: usize,
    /// The span over which loads are counted.
    pub window: Duration,
    /// How long an order may take to reach its target.
    pub deadline: Duration,
    /// How long a load may take until the target announces the weights.
    pub patience: Duration,
    /// The longest that any VM's lease lasts; the same on every VM.
    pub lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            high: 0.8,
            low: 0.5,
            residence: Duration::from_secs(600),
            refusal_pause: Duration::from_secs(120),
            loads: 4,
            window: Duration::from_secs(60),
            deadline: Duration::from_secs(2),
            patience: Duration::from_secs(300),
            lease: Duration::from_secs(5),
        }
    }
}
