use std::time::Duration;

use crate::id;

/// A service that routes send requests to, and the limits of each of its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: id::Service,
    /// The maximum number of connections to one target, over all VMs.
    pub max_connections: u32,
    /// The maximum request rate of one cold target, over all VMs; zero if there is no limit.
    pub cold_requests_per_sec: f64,
    /// How long a target is cold after it starts.
    pub cold_period: Duration,
    /// The size of one target's prompt cache; zero for a plain service.
    pub cache_capacity_tokens: u64,
}
