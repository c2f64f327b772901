use serde::{Deserialize, Serialize};

use crate::{id, list::List};

/// A change of a list: the whole list at the version that the change makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change<T> {
    /// The new list.
    pub list: List<T>,
    /// Whether the change is only checked.
    #[serde(default)]
    pub dry_run: bool,
}

/// How far a change has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Applied {
    /// The version that the change made.
    pub version: u64,
    /// Whether a quorum holds it, so that it never reverts.
    pub committed: bool,
    /// The regions that have not yet reported it in force.
    pub waiting: Vec<id::Region>,
}
