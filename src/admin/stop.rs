use serde::{Deserialize, Serialize};

use crate::id;

/// What a planned stop is of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One target.
    Target(id::Target),
    /// One VM.
    Vm(id::Vm),
    /// An availability zone.
    Zone(id::Zone),
    /// A region.
    Region(id::Region),
}

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
