use prost::{Enumeration, Message, bytes::Bytes};

use super::Membership;

/// What an entry of the log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Nothing: a leader's first entry.
    Empty = 0,
    /// A command for the machine.
    Command = 1,
    /// A [`Membership`].
    Membership = 2,
}

/// An entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// The place in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that made it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it holds.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, or the encoded membership.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// What a replica must never forget of elections.
#[derive(Clone, PartialEq, Message)]
pub struct HardState {
    /// The latest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The VM voted for in that term; empty for none.
    #[prost(string, tag = "2")]
    pub voted_for: String,
    /// The disk of the VM voted for.
    #[prost(uint64, tag = "3")]
    pub voted_for_disk_id: u64,
    /// The group's formation; zero while the replica belongs to no group.
    #[prost(uint64, tag = "4")]
    pub group_id: u64,
}

/// The state of a group at an index.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The last index that it covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The membership at that index.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
    /// The machine's state; empty for a machine to which nothing was applied.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// What has to be made durable at once.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The hard state, where it changed.
    #[prost(message, optional, tag = "1")]
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces what it covers.
    #[prost(message, optional, tag = "2")]
    pub snapshot: Option<Snapshot>,
    /// Entries; the first one replaces what stands at its index and above.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
}

impl Record {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Adds a later record, which may replace entries of this one.
    ///
    /// ```
    /// use pomelogate::consensus::{Entry, Record};
    ///
    /// let entry = |index, term| Entry { index, term, ..Entry::default() };
    /// let mut state = Record::default();
    /// state.merge_later(Record { entries: vec![entry(1, 1), entry(2, 1)], ..Record::default() });
    /// state.merge_later(Record { entries: vec![entry(2, 2)], ..Record::default() });
    /// assert_eq!(state.entries, [entry(1, 1), entry(2, 2)]);
    /// ```
    pub fn merge_later(&mut self, later: Self) {
        if later.hard_state.is_some() {
            self.hard_state = later.hard_state;
        }
        if let Some(snapshot) = later.snapshot {
            let agrees =
                self.entries.iter().any(|e| e.index == snapshot.index && e.term == snapshot.term);
            self.entries.retain(|entry| agrees && entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = later.entries.first() {
            let first = first.index;
            self.entries.retain(|entry| entry.index < first);
            self.entries.extend(later.entries);
        }
    }
}
