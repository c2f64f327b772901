use std::time::Duration;

use crate::{id, target::Load};

/// A target that can serve the request, as this VM knows it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target's ID.
    pub target: &'a id::Target,
    /// The region that the target runs in.
    pub region: &'a id::Region,
    /// The incarnation of the target's process; a restart increases it.
    pub incarnation: u64,
    /// The newest load report of the target.
    pub load: Load,
    /// The time since the target wrote the load report.
    pub report_age: Duration,
    /// The network delay to the target, in one direction.
    pub one_way_delay: Duration,
}
