use serde::{Deserialize, Serialize};

use super::Action;

/// An order as a target takes it: the body of `POST /orders`.
///
/// ```
/// use pomelogate::order::{Action, Message, Weights};
///
/// let weights = Weights { model: "plum".into(), version: "1".into(), adapter: None };
/// let message = Message { fence: 7, deadline_ms: 1000, action: Action::Load(weights) };
/// let text = serde_json::to_string(&message).unwrap();
/// assert_eq!(serde_json::from_str::<Message>(&text).unwrap(), message);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fencing number: a target that checks refuses one older than it has seen.
    pub fence: u64,
    /// When the order ends to hold unless it has arrived, in milliseconds since 1970 by the
    /// sender's wall clock; for targets that keep such a clock.
    pub deadline_ms: u64,
    /// What the target is to do.
    #[serde(flatten)]
    pub action: Action,
}
