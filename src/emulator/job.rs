use std::time::Duration;

use crate::{path::Class, placement::Prompt};

/// One request of the traffic.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it arrives, from the start.
    pub at: Duration,
    /// The number of its caller's region.
    pub region: usize,
    /// The number of its customer.
    pub customer: usize,
    /// How urgent it is.
    pub class: Class,
    /// Whether it needs a plain service instead of the model.
    pub service: bool,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of its answer.
    pub answer: u32,
}
