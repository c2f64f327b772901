use serde::{Deserialize, Serialize};

/// The limits of each customer on a plan, within one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that may run at once.
    pub concurrency: u32,
    /// Requests that may wait for a place.
    pub queue: u32,
    /// Tokens a minute, of prompts and answers together.
    pub tokens_per_minute: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { concurrency: 64, queue: 256, tokens_per_minute: 1_000_000 }
    }
}
