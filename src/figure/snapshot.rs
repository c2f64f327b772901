use serde::{Deserialize, Serialize};

use crate::{id, outcome::Reason, path::Class};

/// The figures of one VM since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// A summary for each customer and class, in the order of their names.
    pub summaries: Vec<Summary>,
    /// Refusals, by reason.
    pub refusals: Vec<Refusals>,
}

/// The figures of one customer and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The customer; nothing for requests without a known key and for customers beyond the bound.
    pub customer: Option<id::Customer>,
    /// The class.
    pub class: Class,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that another region served.
    pub elsewhere: u64,
    /// The cost: seconds for which requests held engines.
    pub engine_seconds: f64,
    /// The time until the first byte of the body.
    pub first_byte: Quantiles,
    /// The time until the end.
    pub total: Quantiles,
    /// The wait in this VM's queues.
    pub queue: Quantiles,
    /// The time between pieces of streamed answers.
    pub between: Quantiles,
}

/// What a histogram shows, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many values it holds.
    pub count: u64,
    /// The median.
    pub p50_ms: u64,
    /// The 95th percentile.
    pub p95_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The largest value.
    pub max_ms: u64,
}

/// How often requests were refused for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// The reason.
    pub reason: Reason,
    /// How often.
    pub count: u64,
}
