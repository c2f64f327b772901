use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use super::VmInfo;

/// Number of recent changes that are kept to compute differences. Only in the largest deployments
/// do more VMs change within the second between two update requests of a VM, which then gets the
/// full set.
const MAX_CHANGES: usize = 512;

/// The set of live VMs, with a digest and the recent changes.
///
/// The digest depends on the contents alone, so it is the same on every replica. A VM that got its
/// digest from one replica can ask another one for the difference.
///
/// ```
/// use pomelogate::registry::{VmInfo, VmSet};
///
/// let info = |vm: &str| VmInfo { vm: vm.to_owned(), ..VmInfo::default() };
/// let mut vms = VmSet::default();
/// vms.insert(&info("one"));
/// let known = vms.digest();
/// vms.insert(&info("two"));
/// assert_eq!(vms.changed_since(known), Some(["two"].into()));
/// vms.remove("two");
/// assert_eq!(vms.digest(), known);
/// ```
#[derive(Debug, Default)]
pub struct VmSet {
    digests: BTreeMap<String, u64>,
    /// XOR of `digests`.
    xor_digest: u64,
    changes: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    digest_before: u64,
    vm: String,
}

impl VmSet {
    /// Adds a VM or replaces its info. Returns whether anything changed that other VMs are told;
    /// the loads and the addresses for links are not.
    pub fn insert(&mut self, info: &VmInfo) -> bool {
        let text =
            format!("{} {} {} {}", info.vm, info.ready, info.callers_address, info.incarnation);
        let digest = xxh3_64(text.as_bytes());
        if self.digests.get(&info.vm) == Some(&digest) {
            return false;
        }
        self.record_change(&info.vm);
        let previous = self.digests.insert(info.vm.clone(), digest);
        self.xor_digest ^= digest ^ previous.unwrap_or_default();
        true
    }

    /// Removes a VM. Returns whether the set held it.
    pub fn remove(&mut self, vm: &str) -> bool {
        let Some(previous) = self.digests.get(vm).copied() else { return false };
        self.record_change(vm);
        self.digests.remove(vm);
        self.xor_digest ^= previous;
        true
    }

    fn record_change(&mut self, vm: &str) {
        self.changes.push_back(Change { digest_before: self.digest(), vm: vm.to_owned() });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Digest of the set. It is never 0, which an update request sends for "nothing known".
    pub fn digest(&self) -> u64 {
        self.xor_digest.max(1)
    }

    /// Whether the set holds a VM.
    pub fn contains(&self, vm: &str) -> bool {
        self.digests.contains_key(vm)
    }

    /// The names of all VMs.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.digests.keys().map(String::as_str)
    }

    /// The VMs that were added, changed or removed since the set had the digest `known`; `None` if
    /// the changes since then are no longer kept.
    pub fn changed_since(&self, known: u64) -> Option<BTreeSet<&str>> {
        if known == self.digest() {
            return Some(BTreeSet::new());
        }
        let last = self.changes.iter().rposition(|change| change.digest_before == known)?;
        Some(self.changes.iter().skip(last).map(|change| change.vm.as_str()).collect())
    }
}
