use std::time::{Duration, Instant};

use super::{Announcement, Settings};
use crate::id;

/// An announcement, with who took it from the target and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What the target said.
    pub announcement: Announcement,
    /// The VM that took it from the target.
    pub by: id::Vm,
    /// When that VM took it.
    pub taken: Instant,
    /// Whether the target has said that it leaves.
    pub leaving: bool,
}

impl Report {
    /// How long ago the announcement was taken.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.taken)
    }

    /// Whether the target may get new work.
    pub fn holds(&self, settings: &Settings, now: Instant) -> bool {
        !self.leaving && self.age(now) < settings.lease
    }

    /// Whether nothing needs to remember the target any more.
    pub(super) fn is_spent(&self, settings: &Settings, now: Instant) -> bool {
        self.age(now) >= if self.leaving { settings.memory } else { settings.lease * 2 }
    }

    /// What is known after `later` came: a leave holds for the rest of an incarnation.
    pub(super) fn succeeded_by(&self, later: Self) -> Option<Self> {
        let known = self.announcement.incarnation;
        let leaving = self.leaving || later.leaving;
        match later.announcement.incarnation {
            new if new > known => Some(later),
            old if old < known => None,
            _ if later.taken > self.taken => Some(Self { leaving, ..later }),
            _ if leaving && !self.leaving => Some(Self { leaving, ..self.clone() }),
            _ => None,
        }
    }
}
