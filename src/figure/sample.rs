use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, outcome::Reason, path::Class};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got its whole answer.
    Answered,
    /// The request did not run.
    Refused,
    /// The request may have run, or its answer was cut off.
    Unknown,
}

/// What one request showed.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The customer; nothing where the key is unknown.
    pub customer: Option<&'a id::Customer>,
    /// The class.
    pub class: Class,
    /// What became of it.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Option<Reason>,
    /// Whether another region served it.
    pub elsewhere: bool,
    /// The time until the first byte of the answer's body.
    pub first_byte: Option<Duration>,
    /// The time until the end of the answer.
    pub total: Duration,
    /// The time that it waited for a place in this VM's queues.
    pub queue: Option<Duration>,
    /// The times between pieces of a streamed answer.
    pub between: &'a [Duration],
    /// The time that it held an engine; the measure of cost.
    pub engine: Duration,
}

impl Default for Sample<'_> {
    fn default() -> Self {
        Self {
            customer: None,
            class: Class::default(),
            outcome: Outcome::Answered,
            reason: None,
            elsewhere: false,
            first_byte: None,
            total: Duration::ZERO,
            queue: None,
            between: &[],
            engine: Duration::ZERO,
        }
    }
}
