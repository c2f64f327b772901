use prost::{Enumeration, Message, bytes::Bytes};

use super::Membership;

/// What the payload of a log entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Nothing: the entry that a leader appends when it is elected.
    Empty = 0,
    /// A command for the state machine.
    Command = 1,
    /// An encoded [`Membership`].
    Membership = 2,
}

/// A log entry.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// The position in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What the payload is.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, or the encoded membership.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// What a replica has to persist about elections and its group.
#[derive(Clone, PartialEq, Message)]
pub struct HardState {
    /// The latest term that the replica has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The VM that received this replica's vote in that term; empty if none did.
    #[prost(string, tag = "2")]
    pub voted_for: String,
    /// The disk ID of that VM.
    #[prost(uint64, tag = "3")]
    pub voted_for_disk_id: u64,
    /// The ID of the group; zero while the replica belongs to none.
    #[prost(uint64, tag = "4")]
    pub group_id: u64,
}

/// The state of a group at a log index.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The membership at that index.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
    /// The encoded state of the state machine; empty if no command was applied.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
}

/// Changes that become durable together, as one record of the write-ahead log.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The hard state, if it changed.
    #[prost(message, optional, tag = "1")]
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the entries it covers.
    #[prost(message, optional, tag = "2")]
    pub snapshot: Option<Snapshot>,
    /// Entries; the first replaces any entry at its index and all later ones.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
}

impl Record {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Merges a later record, which may replace entries of this one.
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
            let contains_snapshot_entry =
                self.entries.iter().any(|e| e.index == snapshot.index && e.term == snapshot.term);
            self.entries.retain(|entry| contains_snapshot_entry && entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = later.entries.first() {
            let first_index = first.index;
            self.entries.retain(|entry| entry.index < first_index);
            self.entries.extend(later.entries);
        }
    }
}
