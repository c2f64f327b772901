use std::collections::{BTreeMap, BTreeSet, VecDeque};

use prost::{Message, bytes::Bytes};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use super::{Entry, Subject, SubjectUpdate};
use crate::list::{List, join_entries};

/// Number of versions whose digests are kept, so that a resend of a superseded change is
/// recognised.
pub const MAX_DIGESTS: usize = 16_384;
/// Number of change sets kept, from which deltas are made.
pub const MAX_CHANGE_SETS: usize = 2_048;

/// The versions of one subject: the newest in full, earlier ones as digests and change sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    version: u64,
    entries: BTreeMap<String, Vec<u8>>,
    digests: VecDeque<Bytes>,
    change_sets: VecDeque<ChangeSet>,
}

/// The names of the entries that changed between two versions.
#[derive(Clone, PartialEq, Eq, Message)]
struct ChangeSet {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(string, repeated, tag = "3")]
    names: Vec<String>,
}

/// How a proposed version with a given digest relates to a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VersionStatus {
    /// The version is the next one.
    Next,
    /// The version exists with the same content.
    Same,
    /// The version exists with other content, of this digest.
    Conflict(Bytes),
    /// The version is higher than the next one.
    Gap,
    /// The digest of the version is no longer kept.
    Forgotten,
}

/// The encoded form of a history in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Image {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
    #[prost(bytes = "bytes", repeated, tag = "3")]
    digests: Vec<Bytes>,
    #[prost(message, repeated, tag = "4")]
    change_sets: Vec<ChangeSet>,
}

impl VersionHistory {
    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entries of the newest version as a canonical JSON array.
    pub fn content(&self) -> Vec<u8> {
        join_entries(self.entries.values())
    }

    /// The names of the entries of the newest version.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// The newest version as a list of parsed entries.
    ///
    /// # Errors
    ///
    /// If an entry is not a valid `T`.
    pub fn list<T: DeserializeOwned>(&self) -> Result<List<T>, String> {
        let parsed = self.entries.iter().map(|(name, entry)| {
            serde_json::from_slice(entry).map_err(|error| format!("entry `{name}`: {error}"))
        });
        Ok(List { version: self.version, entries: parsed.collect::<Result<_, _>>()? })
    }

    /// The oldest version whose digest is kept.
    pub(super) fn oldest(&self) -> u64 {
        self.version + 1 - self.digests.len() as u64
    }

    /// How `version` with content of `digest` relates to this history.
    pub(super) fn status(&self, version: u64, digest: &[u8]) -> VersionStatus {
        if version == self.version + 1 {
            return VersionStatus::Next;
        }
        if version > self.version {
            return VersionStatus::Gap;
        }
        let Some(index) = version.checked_sub(self.oldest()) else {
            return VersionStatus::Forgotten;
        };
        let accepted_digest = usize::try_from(index).ok().and_then(|index| self.digests.get(index));
        match accepted_digest {
            None => VersionStatus::Forgotten,
            Some(accepted) if accepted == digest => VersionStatus::Same,
            Some(accepted) => VersionStatus::Conflict(accepted.clone()),
        }
    }

    /// Appends the next version.
    pub(super) fn push(&mut self, entries: BTreeMap<String, Vec<u8>>) {
        let names = self.differing_names(&entries);
        self.entries = entries;
        self.digests.push_back(digest(&self.content()));
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
        self.advance(ChangeSet { from: self.version, to: self.version + 1, names });
    }

    /// Appends the next version with one entry set or, if `content` is `None`, removed.
    pub(super) fn push_edit(&mut self, name: &str, content: Option<Vec<u8>>) {
        let mut entries = self.entries.clone();
        match content {
            Some(content) => entries.insert(name.to_owned(), content),
            None => entries.remove(name),
        };
        self.push(entries);
    }

    /// Whether the newest version has an entry of this name.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// The update from version `from` to the newest: a delta, or a snapshot if the change sets don't
    /// reach back that far. `None` if there is nothing newer.
    pub(super) fn update_since(&self, subject: Subject, from: u64) -> Option<SubjectUpdate> {
        if from >= self.version {
            return None;
        }
        let has_delta = self.change_sets.front().is_some_and(|change_set| change_set.from <= from);
        let update = if has_delta { self.delta(from) } else { self.full_update() };
        Some(SubjectUpdate { subject: subject as i32, ..update })
    }

    /// A snapshot of the newest version.
    pub(super) fn full_update(&self) -> SubjectUpdate {
        SubjectUpdate {
            version: self.version,
            changed: self.entries.iter().map(entry_message).collect(),
            digest: digest(&self.content()),
            ..SubjectUpdate::default()
        }
    }

    fn delta(&self, from: u64) -> SubjectUpdate {
        let change_sets = self.change_sets.iter().filter(|change_set| change_set.to > from);
        let names: BTreeSet<&String> =
            change_sets.flat_map(|change_set| &change_set.names).collect();
        let (changed, removed): (Vec<_>, Vec<_>) =
            names.into_iter().partition(|name| self.entries.contains_key(*name));
        let changed = changed.into_iter().filter_map(|name| self.entries.get_key_value(name));
        SubjectUpdate {
            from,
            version: self.version,
            changed: changed.map(entry_message).collect(),
            removed: removed.into_iter().cloned().collect(),
            digest: digest(&self.content()),
            ..SubjectUpdate::default()
        }
    }

    /// Applies a delta or snapshot. Older updates are ignored, and nothing changes on an error.
    pub(super) fn apply(&mut self, update: &SubjectUpdate) -> Result<(), String> {
        if update.version <= self.version {
            return Ok(());
        }
        if update.from > self.version {
            return Err(format!(
                "starts from version {}, but this VM has version {}",
                update.from, self.version
            ));
        }
        let base = if update.from == 0 { &Self::default() } else { &*self };
        let entries = base.entries_with(&update.changed, &update.removed);
        if digest(&join_entries(entries.values())) != update.digest {
            return Err(format!(
                "the content of version {} does not match its digest",
                update.version
            ));
        }
        let names = self.differing_names(&entries);
        self.entries = entries;
        self.digests.clear();
        self.digests.push_back(update.digest.clone());
        self.advance(ChangeSet { from: self.version, to: update.version, names });
        Ok(())
    }

    fn advance(&mut self, change_set: ChangeSet) {
        self.version = change_set.to;
        self.change_sets.push_back(change_set);
        if self.change_sets.len() > MAX_CHANGE_SETS {
            self.change_sets.pop_front();
        }
    }

    /// The new and changed entries of `entries` compared to the newest version, and the names of the
    /// removed ones.
    pub(super) fn diff(&self, entries: &BTreeMap<String, Vec<u8>>) -> (Vec<Entry>, Vec<String>) {
        let names = self.differing_names(entries);
        let (changed, removed): (Vec<_>, Vec<_>) =
            names.into_iter().partition(|name| entries.contains_key(name));
        let changed = changed.iter().filter_map(|name| entries.get_key_value(name));
        (changed.map(entry_message).collect(), removed)
    }

    /// The entries of the newest version with some changed and some removed; the version itself
    /// does not change.
    pub(super) fn entries_with(
        &self,
        changed: &[Entry],
        removed: &[String],
    ) -> BTreeMap<String, Vec<u8>> {
        let mut entries = self.entries.clone();
        for name in removed {
            entries.remove(name);
        }
        for entry in changed {
            entries.insert(entry.name.clone(), entry.content.clone());
        }
        entries
    }

    fn differing_names(&self, entries: &BTreeMap<String, Vec<u8>>) -> Vec<String> {
        let changed = entries.iter().filter(|(name, entry)| self.entries.get(*name) != Some(entry));
        let removed = self.entries.keys().filter(|name| !entries.contains_key(*name));
        changed.map(|(name, _)| name).chain(removed).cloned().collect()
    }

    pub(super) fn image(&self) -> Image {
        Image {
            version: self.version,
            entries: self.entries.iter().map(entry_message).collect(),
            digests: self.digests.iter().cloned().collect(),
            change_sets: self.change_sets.iter().cloned().collect(),
        }
    }

    pub(super) fn from_image(image: Image) -> Self {
        Self {
            version: image.version,
            entries: image.entries.into_iter().map(|entry| (entry.name, entry.content)).collect(),
            digests: image.digests.into(),
            change_sets: image.change_sets.into(),
        }
    }
}

fn entry_message((name, content): (&String, &Vec<u8>)) -> Entry {
    Entry { name: name.clone(), content: content.clone() }
}

fn digest(content: &[u8]) -> Bytes {
    Bytes::from(Sha256::digest(content).to_vec())
}
