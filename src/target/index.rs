use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use super::{Announcement, Load, Report, Sent};
use crate::id;

/// Targets by the digest of what they announced, load apart from the size of the batch.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    digests: BTreeMap<id::Target, u32>,
    targets: BTreeMap<u32, BTreeSet<id::Target>>,
}

impl Index {
    /// Notes what a target announced.
    pub(super) fn insert(&mut self, report: &Report) {
        let target = &report.announcement.target;
        self.remove(target);
        let digest = digest(report);
        self.digests.insert(target.clone(), digest);
        self.targets.entry(digest).or_default().insert(target.clone());
    }

    /// Forgets a target.
    pub(super) fn remove(&mut self, target: &id::Target) {
        let Some(digest) = self.digests.remove(target) else { return };
        if let Some(targets) = self.targets.get_mut(&digest) {
            targets.remove(target);
            if targets.is_empty() {
                self.targets.remove(&digest);
            }
        }
    }

    /// The digest of a target, unless another target has the same.
    pub(super) fn digest(&self, target: &id::Target) -> Option<u32> {
        let digest = *self.digests.get(target)?;
        self.target(digest).map(|_| digest)
    }

    /// The target of a digest, unless there are several.
    pub(super) fn target(&self, digest: u32) -> Option<&id::Target> {
        let mut targets = self.targets(digest);
        targets.next().filter(|_| targets.next().is_none())
    }

    /// All targets of a digest.
    pub(super) fn targets(&self, digest: u32) -> impl Iterator<Item = &id::Target> {
        self.targets.get(&digest).into_iter().flatten()
    }
}

fn digest(report: &Report) -> u32 {
    let load = Load { slots: report.announcement.load.slots, ..Load::default() };
    let announcement = Announcement { load, ..report.announcement.clone() };
    let same = Report { announcement, by: "".into(), leaving: false, ..report.clone() };
    let sent = Sent::encode(&same, same.taken);
    let hash = xxh3_64(&sent.encode_to_vec());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
