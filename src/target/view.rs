use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Announcement, Need};
use crate::id;

/// What a VM knows of the targets: each is held under a lease that its announcements renew.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<id::Target, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    announcement: Announcement,
    expires: Instant,
    leaving: bool,
}

impl View {
    /// Takes an announcement, unless a later process of the same target has announced itself.
    pub fn announce(&mut self, announcement: Announcement, lease: Duration, now: Instant) {
        let known = self.entries.get(&announcement.target);
        let incarnation = announcement.incarnation;
        if known.is_some_and(|entry| entry.announcement.incarnation > incarnation) {
            return;
        }
        let leaving = known
            .is_some_and(|entry| entry.leaving && entry.announcement.incarnation == incarnation);
        let entry = Entry { expires: now + lease, leaving, announcement };
        self.entries.insert(entry.announcement.target.clone(), entry);
    }

    /// Marks a target as leaving: it gets no new work.
    pub fn leave(&mut self, target: &id::Target) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.leaving = true;
        }
    }

    /// The targets that may get new work at `now`.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.entries
            .values()
            .filter(move |entry| !entry.leaving && entry.expires > now)
            .map(|entry| &entry.announcement)
    }

    /// The targets that meet `need` at `now`.
    pub fn capable<'a>(
        &'a self,
        need: &'a Need,
        now: Instant,
    ) -> impl Iterator<Item = &'a Announcement> {
        self.entries
            .values()
            .filter(move |entry| !entry.leaving && entry.expires > now)
            .map(|entry| &entry.announcement)
            .filter(|announcement| announcement.offers.iter().any(|offer| need.met_by(offer)))
    }
}
