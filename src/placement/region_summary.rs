use std::time::Duration;

use crate::id;

/// What another region says of its targets that meet the request's need.
#[derive(Clone, Copy, Debug)]
pub struct RegionSummary<'a> {
    /// The region.
    pub region: &'a id::Region,
    /// Requests that its targets can run at once.
    pub slots: u32,
    /// Requests that they could take besides those that run.
    pub free: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// The time since the summary was written.
    pub age: Duration,
    /// The time that a message takes to get there.
    pub one_way_delay: Duration,
}
