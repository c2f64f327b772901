use std::time::Duration;

use super::{DeliveryMode, Split};
use crate::id;

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub delivery_mode: DeliveryMode,
    /// The longest time that a caller is kept waiting for the end of an answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// The longest pause between events that is on time; zero where it is not told.
    pub event_gap_objective: Duration,
    /// The rank: 0 goes first.
    pub priority: u32,
    /// The most targets on which one request may run.
    pub max_attempts: u32,
    /// Whether requests name the parts of their prompts, which targets keep.
    pub keeps_prompt_parts: bool,
    /// The services, each with its share.
    pub split: Split,
    /// The regions that may serve and see its requests; empty where all may.
    pub allowed_regions: Vec<id::Region>,
}

impl Route {
    /// Whether a target or a VM of `region` may get the request's body.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
}
