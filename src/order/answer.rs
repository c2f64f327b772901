use serde::{Deserialize, Serialize};

/// A target's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    /// The target carries it out; its announcements tell when it has.
    Accepted,
    /// The target does not carry it out.
    Refused {
        /// Why.
        reason: String,
    },
    /// The target has seen a newer fencing number.
    StaleFence {
        /// The newest that it has seen.
        newest: u64,
    },
}
