use serde::{Deserialize, Serialize};

use crate::stop::Scope;

/// A planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// What stops.
    pub scope: Scope,
}

/// The planned stops announced at present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stops {
    /// The stops.
    pub stops: Vec<Stop>,
}
