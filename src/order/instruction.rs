use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Action;
use crate::id;

/// An order to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instruction {
    /// The target.
    pub target: id::Target,
    /// The fencing number: a target that checks refuses one older than it has seen.
    pub fence: u64,
    /// How long the order may take to reach the target; the sender drops it after that.
    pub valid_for: Duration,
    /// What the target is to do.
    pub action: Action,
}
