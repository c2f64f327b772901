use std::collections::VecDeque;

use prost::Message;

use super::{Entry, EntryKind, Membership, Snapshot};

/// The latest snapshot and the part of the log that is held in memory.
#[derive(Debug)]
pub(super) struct MemoryLog {
    pub snapshot: Snapshot,
    /// The index and the term of the entry before the first one in `entries`.
    base: (u64, u64),
    entries: VecDeque<Entry>,
}

impl MemoryLog {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let base = (snapshot.index, snapshot.term);
        Self { snapshot, base, entries: entries.into() }
    }

    pub fn base_index(&self) -> u64 {
        self.base.0
    }

    pub fn last_index_and_term(&self) -> (u64, u64) {
        self.entries.back().map_or(self.base, |entry| (entry.index, entry.term))
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry_at(index).map(|entry| entry.term)
    }

    pub fn entry_at(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `first_index` on, limited by their number and their payload bytes; the
    /// first is returned even if it is larger.
    pub fn entries_from(
        &self,
        first_index: u64,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let skipped_entries =
            usize::try_from(first_index.saturating_sub(self.base.0 + 1)).unwrap_or(usize::MAX);
        let mut bytes_left = max_bytes;
        let fits = |entry: &&Entry| {
            let is_first = bytes_left == max_bytes;
            let has_room = entry.payload.len() <= bytes_left;
            bytes_left = bytes_left.saturating_sub(entry.payload.len().max(1));
            has_room || is_first
        };
        self.entries
            .iter()
            .skip(skipped_entries)
            .take(max_entries)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Appends `entry`, in place of any entry at its index and all later ones.
    pub fn truncate_and_push(&mut self, entry: Entry) {
        while self.last_index_and_term().0 >= entry.index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        self.entries.push_back(entry);
    }

    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }

    pub fn compact(&mut self, snapshot: Snapshot, trailing_entries: usize) {
        let last_dropped = snapshot.index.saturating_sub(trailing_entries as u64);
        while let Some(first) = self.entries.front().filter(|entry| entry.index <= last_dropped) {
            self.base = (first.index, first.term);
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// The index of the entry that set the membership in effect at `index`, and that membership.
    pub fn membership_at(&self, index: u64) -> (u64, Membership) {
        let is_in_effect = |entry: &&Entry| {
            entry.index <= index
                && entry.index > self.snapshot.index
                && entry.kind() == EntryKind::Membership
        };
        let entry = self.entries.iter().rev().find(is_in_effect);
        let index_and_membership = entry.and_then(|entry| {
            Membership::decode(entry.payload.as_ref()).ok().map(|m| (entry.index, m))
        });
        index_and_membership
            .unwrap_or_else(|| (self.snapshot.index, self.snapshot.membership.clone()))
    }
}
