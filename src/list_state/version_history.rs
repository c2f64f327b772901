use std::collections::{BTreeMap, BTreeSet, VecDeque};

use prost::{Message, bytes::Bytes};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use super::{Entry, Subject, SubjectUpdate};
use crate::list::{List, join_entries};

/// How many versions' digests are kept, so that a resend of a superseded change is recognised.
pub const MAX_DIGESTS: usize = 16_384;
/// How many hops between versions are kept, from which deltas are made.
pub const MAX_CHANGE_SETS: usize = 2_048;

/// The versions of one subject: the newest in full, earlier ones as digests and hops.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    version: u64,
    entries: BTreeMap<String, Vec<u8>>,
    digests: VecDeque<Bytes>,
    hops: VecDeque<Hop>,
}

/// The names of the entries that changed between two versions.
#[derive(Clone, PartialEq, Eq, Message)]
struct Hop {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(string, repeated, tag = "3")]
    names: Vec<String>,
}

/// What a version and a digest are to a series.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// The version comes next.
    Next,
    /// The same content stands under the version.
    Same,
    /// Content of this digest stands under the version.
    Other(Bytes),
    /// Versions before it are missing.
    Gap,
    /// The version is older than what is kept.
    Forgotten,
}

/// The whole of a series, encoded.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Image {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
    #[prost(bytes = "bytes", repeated, tag = "3")]
    digests: Vec<Bytes>,
    #[prost(message, repeated, tag = "4")]
    hops: Vec<Hop>,
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

    /// The newest version, read as a list.
    ///
    /// # Errors
    ///
    /// Where an entry is not of the type asked for.
    pub fn list<T: DeserializeOwned>(&self) -> Result<List<T>, String> {
        let read = self.entries.iter().map(|(name, entry)| {
            serde_json::from_slice(entry).map_err(|error| format!("entry `{name}`: {error}"))
        });
        Ok(List { version: self.version, entries: read.collect::<Result<_, _>>()? })
    }

    /// The oldest version whose digest is kept.
    pub(super) fn oldest(&self) -> u64 {
        self.version + 1 - self.digests.len() as u64
    }

    /// What `version` with content of `digest` is to this series.
    pub(super) fn standing(&self, version: u64, digest: &[u8]) -> Standing {
        if version == self.version + 1 {
            return Standing::Next;
        }
        if version > self.version {
            return Standing::Gap;
        }
        let Some(place) = version.checked_sub(self.oldest()) else { return Standing::Forgotten };
        let kept = usize::try_from(place).ok().and_then(|place| self.digests.get(place));
        match kept {
            None => Standing::Forgotten,
            Some(kept) if kept == digest => Standing::Same,
            Some(kept) => Standing::Other(kept.clone()),
        }
    }

    /// Makes the next version.
    pub(super) fn push(&mut self, entries: BTreeMap<String, Vec<u8>>) {
        let names = self.differing(&entries);
        self.entries = entries;
        self.digests.push_back(digest(&self.content()));
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
        self.hop(Hop { from: self.version, to: self.version + 1, names });
    }

    /// Makes the next version with one entry changed or, where there is no content, removed.
    pub(super) fn edit(&mut self, name: &str, content: Option<Vec<u8>>) {
        let mut entries = self.entries.clone();
        match content {
            Some(content) => entries.insert(name.to_owned(), content),
            None => entries.remove(name),
        };
        self.push(entries);
    }

    /// Whether there is an entry of this name.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// What leads from version `from` to the newest: a delta, or a snapshot if that is too far.
    pub(super) fn part(&self, subject: Subject, from: u64) -> Option<SubjectUpdate> {
        if from >= self.version {
            return None;
        }
        let reachable = self.hops.front().is_some_and(|hop| hop.from <= from);
        let part = if reachable { self.delta(from) } else { self.full_update() };
        Some(SubjectUpdate { subject: subject as i32, ..part })
    }

    /// A part that leads from nothing to the newest version.
    pub(super) fn full_update(&self) -> SubjectUpdate {
        SubjectUpdate {
            version: self.version,
            changed: self.entries.iter().map(entry).collect(),
            digest: digest(&self.content()),
            ..SubjectUpdate::default()
        }
    }

    fn delta(&self, from: u64) -> SubjectUpdate {
        let hops = self.hops.iter().filter(|hop| hop.to > from);
        let names: BTreeSet<&String> = hops.flat_map(|hop| &hop.names).collect();
        let (changed, removed): (Vec<_>, Vec<_>) =
            names.into_iter().partition(|name| self.entries.contains_key(*name));
        let changed = changed.into_iter().filter_map(|name| self.entries.get_key_value(name));
        SubjectUpdate {
            from,
            version: self.version,
            changed: changed.map(entry).collect(),
            removed: removed.into_iter().cloned().collect(),
            digest: digest(&self.content()),
            ..SubjectUpdate::default()
        }
    }

    /// Takes a part that leads to a newer version; nothing changes unless it fits whole.
    pub(super) fn apply(&mut self, part: &SubjectUpdate) -> Result<(), String> {
        if part.version <= self.version {
            return Ok(());
        }
        if part.from > self.version {
            return Err(format!("leads from version {}, not {}", part.from, self.version));
        }
        let base = if part.from == 0 { &Self::default() } else { &*self };
        let entries = base.edited(&part.changed, &part.removed);
        if digest(&join_entries(entries.values())) != part.digest {
            return Err(format!("version {} is not what its digest says", part.version));
        }
        let names = self.differing(&entries);
        self.entries = entries;
        self.digests.clear();
        self.digests.push_back(part.digest.clone());
        self.hop(Hop { from: self.version, to: part.version, names });
        Ok(())
    }

    fn hop(&mut self, hop: Hop) {
        self.version = hop.to;
        self.hops.push_back(hop);
        if self.hops.len() > MAX_CHANGE_SETS {
            self.hops.pop_front();
        }
    }

    /// The entries that are new or changed in `entries`, and the names that are gone from it.
    pub(super) fn difference(
        &self,
        entries: &BTreeMap<String, Vec<u8>>,
    ) -> (Vec<Entry>, Vec<String>) {
        let names = self.differing(entries);
        let (changed, removed): (Vec<_>, Vec<_>) =
            names.into_iter().partition(|name| entries.contains_key(name));
        let changed = changed.iter().filter_map(|name| entries.get_key_value(name));
        (changed.map(entry).collect(), removed)
    }

    /// The entries of the newest version with some changed and some removed.
    pub(super) fn edited(
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

    fn differing(&self, entries: &BTreeMap<String, Vec<u8>>) -> Vec<String> {
        let changed = entries.iter().filter(|(name, entry)| self.entries.get(*name) != Some(entry));
        let removed = self.entries.keys().filter(|name| !entries.contains_key(*name));
        changed.map(|(name, _)| name).chain(removed).cloned().collect()
    }

    pub(super) fn image(&self) -> Image {
        Image {
            version: self.version,
            entries: self.entries.iter().map(entry).collect(),
            digests: self.digests.iter().cloned().collect(),
            hops: self.hops.iter().cloned().collect(),
        }
    }

    pub(super) fn from_image(image: Image) -> Self {
        Self {
            version: image.version,
            entries: image.entries.into_iter().map(|entry| (entry.name, entry.content)).collect(),
            digests: image.digests.into(),
            hops: image.hops.into(),
        }
    }
}

fn entry((name, content): (&String, &Vec<u8>)) -> Entry {
    Entry { name: name.clone(), content: content.clone() }
}

fn digest(content: &[u8]) -> Bytes {
    Bytes::from(Sha256::digest(content).to_vec())
}
