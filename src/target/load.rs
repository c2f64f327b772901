use serde::{Deserialize, Serialize};

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Requests that the batch can hold; zero where the target does not say.
    pub slots: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: u32,
}
