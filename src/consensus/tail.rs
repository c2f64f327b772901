use std::collections::VecDeque;

use prost::Message;

use super::{Entry, EntryKind, Membership, Snapshot};

/// The end of the log that is held in memory, above a base.
#[derive(Debug)]
pub(super) struct Tail {
    pub snapshot: Snapshot,
    base: (u64, u64),
    entries: VecDeque<Entry>,
}

impl Tail {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let base = (snapshot.index, snapshot.term);
        Self { snapshot, base, entries: entries.into() }
    }

    pub fn base(&self) -> u64 {
        self.base.0
    }

    pub fn last(&self) -> (u64, u64) {
        self.entries.back().map_or(self.base, |entry| (entry.index, entry.term))
    }

    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// At most `most` entries from `from` on, and `bytes` of payload unless the first is larger.
    pub fn range(&self, from: u64, most: usize, bytes: usize) -> Vec<Entry> {
        let skipped = usize::try_from(from.saturating_sub(self.base.0 + 1)).unwrap_or(usize::MAX);
        let mut left = bytes;
        let fits = |entry: &&Entry| {
            let first = left == bytes;
            let room = entry.payload.len() <= left;
            left = left.saturating_sub(entry.payload.len().max(1));
            room || first
        };
        self.entries.iter().skip(skipped).take(most).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) {
        while self.last().0 >= entry.index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        self.entries.push_back(entry);
    }

    pub fn install(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }

    pub fn compact(&mut self, snapshot: Snapshot, trailing: usize) {
        let floor = snapshot.index.saturating_sub(trailing as u64);
        while let Some(first) = self.entries.front().filter(|entry| entry.index <= floor) {
            self.base = (first.index, first.term);
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// The membership in effect at `index`, and the index of its entry.
    pub fn membership(&self, index: u64) -> (u64, Membership) {
        let wanted = |entry: &&Entry| {
            entry.index <= index
                && entry.index > self.snapshot.index
                && entry.kind() == EntryKind::Membership
        };
        let found = self.entries.iter().rev().find(wanted);
        let decoded = found.and_then(|entry| {
            Membership::decode(entry.payload.as_ref()).ok().map(|m| (entry.index, m))
        });
        decoded.unwrap_or_else(|| (self.snapshot.index, self.snapshot.membership.clone()))
    }
}
