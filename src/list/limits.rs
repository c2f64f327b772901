use serde::{Deserialize, Serialize};

/// The limits of each customer on a plan, per region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Tokens per minute, of prompts and responses together.
    pub tokens_per_minute: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { concurrency: 64, queue: 256, tokens_per_minute: 1_000_000 }
    }
}
