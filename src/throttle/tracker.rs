use std::{collections::HashMap, fmt};

use super::Limit;
use crate::id;

/// Above this number of targets, the limits of all are dropped.
const MAX_TARGETS: usize = 4096;

/// The limits that targets have named to one VM.
///
/// ```
/// use pomelogate::throttle::{Change, Tracker};
///
/// let mut tracker = Tracker::default();
/// let limit = "2".parse().unwrap();
/// let engine = "engine".into();
/// assert_eq!(tracker.record_answer(&engine, 1, Some(limit)), Some(Change::Named(limit)));
/// assert_eq!(tracker.record_answer(&engine, 1, Some(limit)), None);
/// assert_eq!(tracker.record_answer(&engine, 1, None), Some(Change::Ended));
/// ```
#[derive(Debug, Default)]
pub struct Tracker {
    /// The incarnation that named a limit, and the limit.
    targets: HashMap<id::Target, (u64, Limit)>,
}

/// What a target said that was not known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target has another limit than before.
    Named(Limit),
    /// The target has no limit any more.
    Ended,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Named(limit) => limit.fmt(f),
            Self::Ended => f.write_str("none"),
        }
    }
}

impl Tracker {
    /// Records the limit that an answer of a target names. Returns what changed.
    pub fn record_answer(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        limit: Option<Limit>,
    ) -> Option<Change> {
        let known = self.targets.get(target).copied();
        match limit {
            Some(limit) if known == Some((incarnation, limit)) => None,
            Some(limit) => {
                if self.targets.len() >= MAX_TARGETS {
                    self.targets.clear();
                }
                self.targets.insert(target.clone(), (incarnation, limit));
                Some(Change::Named(limit))
            }
            None => self.targets.remove(target).map(|_| Change::Ended),
        }
    }

    /// The number of targets with a limit.
    pub fn limited_count(&self) -> usize {
        self.targets.len()
    }
}
