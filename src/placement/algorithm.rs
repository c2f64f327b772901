use serde::{Deserialize, Serialize};

/// How a [`Policy`](super::Policy) chooses among the candidates. `LeastCost` is for production;
/// the others are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Algorithm {
    /// A random candidate.
    Random,
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate whose load report has the fewest running and waiting requests.
    LeastLoad,
    /// The candidate or the other region with the lowest estimated cost.
    #[default]
    LeastCost,
}
