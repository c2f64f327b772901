use std::time::Duration;

use crate::{id, target::Load};

/// A target that meets the request's need, as this VM knows it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a id::Target,
    /// Its region.
    pub region: &'a id::Region,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Its newest load report.
    pub load: Load,
    /// The time since the report was written.
    pub report_age: Duration,
    /// The time that a message takes to it.
    pub one_way_delay: Duration,
}
