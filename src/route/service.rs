use std::time::Duration;

use crate::id;

/// What the list says of the targets of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// The connections that one target takes from all VMs together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears, over all VMs together; zero where there is no
    /// such bound.
    pub cold_requests_per_sec: f64,
    /// How long a target is cold after its start.
    pub cold_period: Duration,
    /// The prompt memory of one target, in tokens; zero for a plain service.
    pub cache_capacity_tokens: u64,
}
