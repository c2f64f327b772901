use serde::{Deserialize, Serialize};

/// How a policy chooses; the last is the one for production, the others are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Algorithm {
    /// Any target of the own region, at random.
    Random,
    /// The targets of the own region in turn.
    RoundRobin,
    /// The target of the own region with the least reported load.
    LeastLoad,
    /// The least expected cost, other regions included.
    #[default]
    LeastCost,
}
