use std::time::Duration;

use crate::id;

/// The load of those targets of another region that can serve the request.
#[derive(Clone, Copy, Debug)]
pub struct RegionSummary<'a> {
    /// The region's ID.
    pub region: &'a id::Region,
    /// The requests that its targets can run at once.
    pub slots: u32,
    /// The slots that no running or waiting request needs.
    pub free_slots: u32,
    /// The requests that wait in its targets' queues.
    pub waiting: u32,
    /// The time since the summary was written.
    pub age: Duration,
    /// The network delay to the region, in one direction.
    pub one_way_delay: Duration,
}
