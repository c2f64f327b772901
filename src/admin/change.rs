use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;

/// A change of a list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change<'a> {
    /// The whole list at the version that the change makes, as the operator wrote it, so that
    /// faults point at its lines.
    #[serde(borrow)]
    pub list: &'a RawValue,
    /// Whether the change is only checked.
    #[serde(default)]
    pub dry_run: bool,
    /// Milliseconds for which the answer may wait until the change is in force everywhere.
    #[serde(default)]
    pub wait_ms: u64,
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
