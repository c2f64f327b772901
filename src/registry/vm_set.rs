use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use super::VmInfo;

/// Changes that are remembered: more VMs than that change within the second between two questions
/// of a VM only in the largest deployments, and then everything is told.
const MOST_CHANGES: usize = 512;

/// Which VMs there are, as others are told, and how that came about.
///
/// The same VMs give the same digest on every replica, so a VM that asked one replica is told the
/// difference by another one.
///
/// ```
/// use pomelogate::registry::{VmSet, VmInfo};
///
/// let entry = |vm: &str| VmInfo { vm: vm.to_owned(), ..VmInfo::default() };
/// let mut vms = VmSet::default();
/// vms.insert(&entry("one"));
/// let known = vms.digest();
/// vms.insert(&entry("two"));
/// assert_eq!(vms.changed_since(known), Some(["two"].into()));
/// vms.remove("two");
/// assert_eq!(vms.digest(), known);
/// ```
#[derive(Debug, Default)]
pub struct VmSet {
    vms: BTreeMap<String, u64>,
    sum: u64,
    changes: VecDeque<Change>,
}

/// A change of one VM, and the digest before it.
#[derive(Debug)]
struct Change {
    before: u64,
    vm: String,
}

impl VmSet {
    /// Takes a VM that is there; whether anything changed that others are told.
    pub fn insert(&mut self, entry: &VmInfo) -> bool {
        let text =
            format!("{} {} {} {}", entry.vm, entry.ready, entry.callers_address, entry.incarnation);
        let digest = xxh3_64(text.as_bytes());
        if self.vms.get(&entry.vm) == Some(&digest) {
            return false;
        }
        self.note(&entry.vm);
        let former = self.vms.insert(entry.vm.clone(), digest);
        self.sum ^= digest ^ former.unwrap_or_default();
        true
    }

    /// Takes that a VM is no longer there; whether it was.
    pub fn remove(&mut self, vm: &str) -> bool {
        let Some(former) = self.vms.get(vm).copied() else { return false };
        self.note(vm);
        self.vms.remove(vm);
        self.sum ^= former;
        true
    }

    fn note(&mut self, vm: &str) {
        self.changes.push_back(Change { before: self.digest(), vm: vm.to_owned() });
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The digest of the VMs; never zero, which stands for nothing known.
    pub fn digest(&self) -> u64 {
        self.sum.max(1)
    }

    /// Whether a VM is there.
    pub fn contains(&self, vm: &str) -> bool {
        self.vms.contains_key(vm)
    }

    /// The VMs that are there.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.vms.keys().map(String::as_str)
    }

    /// The VMs that changed since the digest was `known`; nothing where that is not remembered.
    pub fn changed_since(&self, known: u64) -> Option<BTreeSet<&str>> {
        if known == self.digest() {
            return Some(BTreeSet::new());
        }
        let last = self.changes.iter().rposition(|change| change.before == known)?;
        Some(self.changes.iter().skip(last).map(|change| change.vm.as_str()).collect())
    }
}
