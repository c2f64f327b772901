use std::time::Duration;

use super::{Class, Split};
use crate::id;

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name, for people.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub class: Class,
    /// The longest time that a caller is kept waiting for the end of an answer.
    pub longest_wait: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The longest pause between events that is on time; zero where it is not told.
    pub pause: Duration,
    /// The rank: 0 goes first.
    pub rank: u32,
    /// The most targets on which one request may run.
    pub attempts: u32,
    /// Whether requests name the parts of their prompts, which targets keep.
    pub keeps_parts: bool,
    /// The services, each with its share.
    pub split: Split,
    /// The regions that may serve and see its requests; empty where all may.
    pub homes: Vec<id::Region>,
}

impl Rule {
    /// Whether a target or a VM of `region` may get the request's body.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}
