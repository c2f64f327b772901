use std::time::Duration;

use super::{DeliveryMode, Split};
use crate::id;

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, for logs, metrics and error messages.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// How often requests may run, and whether their responses are event streams.
    pub delivery_mode: DeliveryMode,
    /// The maximum time until the end of a response.
    pub timeout: Duration,
    /// The objective for the time until a response, or until the first event of a stream.
    pub latency_objective: Duration,
    /// The objective for the longest gap between the events of a stream; zero if there is none.
    pub event_gap_objective: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The maximum number of targets that one request may run on.
    pub max_targets: u32,
    /// Whether requests list the parts of their prompts, so that targets can cache each part.
    pub keeps_prompt_parts: bool,
    /// The services that share the route's requests.
    pub split: Split,
    /// Whether requests need no key, where the configuration has organisations.
    pub is_public: bool,
    /// The regions that may receive the requests; empty if all may.
    pub allowed_regions: Vec<id::Region>,
}

impl Route {
    /// Whether a target or a VM of `region` may receive a request's body.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
}
