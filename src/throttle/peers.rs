use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::id;

/// How long a VM counts from the first list without it. A VM that stops still sends requests for some
/// seconds, and a list that was rebuilt lacks VMs at first.
const RETENTION: Duration = Duration::from_secs(10);

/// The VMs that share the request limits of a region's targets, as seen by one of them.
///
/// Each VM computes its share without coordination. If the limit is lower than the number of VMs,
/// the VMs are ranked by a hash that depends on the target: the first ones get one request each,
/// the rest none.
///
/// ```
/// use pomelogate::throttle::Peers;
///
/// let shares = |vms: &[&str], rate| -> Vec<u32> {
///     let share =
///         |own| Peers::new(own, vms.iter().copied()).share_per_sec(&"engine".into(), rate);
///     vms.iter().map(|own| share(*own)).collect()
/// };
/// assert_eq!(shares(&["one", "two"], 5.0), [2, 2]);
/// assert_eq!(shares(&["one", "two", "three", "four", "five"], 2.0).iter().sum::<u32>(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    own_hash: u64,
    other_hashes: Vec<u64>,
}

impl Peers {
    /// The peers of the VM `own`, which may be one of `vms` or not.
    pub fn new<'a>(own: &str, vms: impl Iterator<Item = &'a str>) -> Self {
        let hash = |vm: &str| xxh3_64(vm.as_bytes());
        Self { own_hash: hash(own), other_hashes: vms.filter(|vm| *vm != own).map(hash).collect() }
    }

    /// The number of VMs, including this one.
    pub fn vm_count(&self) -> u32 {
        u32::try_from(self.other_hashes.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// The hash of this VM's name, by which others rank it.
    pub(super) fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// The number of VMs that come before this one in the order of `target`.
    pub fn rank(&self, target: &id::Target) -> u32 {
        self.rank_of(self.own_hash, target)
    }

    /// The number of VMs that come before the VM with the hash `vm` in the order of `target`.
    pub(super) fn rank_of(&self, vm: u64, target: &id::Target) -> u32 {
        let target_hash = xxh3_64(target.as_str().as_bytes());
        let key = |vm: u64| xxh3_64(&(vm ^ target_hash).to_le_bytes());
        let own_key = key(vm);
        let all = self.other_hashes.iter().chain([&self.own_hash]);
        let before = all.filter(|vm| key(**vm) < own_key).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// This VM's share of the `limit_per_sec` requests a second that a target may get from all VMs.
    pub fn share_per_sec(&self, target: &id::Target, limit_per_sec: f64) -> u32 {
        let per_vm = limit_per_sec / f64::from(self.vm_count());
        if per_vm >= 1.0 {
            return per_vm as u32;
        }
        u32::from(f64::from(self.rank(target)) < limit_per_sec)
    }
}

/// The VMs that were listed recently.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::throttle::PeerMemory;
///
/// let mut memory = PeerMemory::default();
/// let now = Instant::now();
/// memory.update(["one", "two", "three"].into_iter(), now);
/// memory.update(["one"].into_iter(), now + Duration::from_secs(1));
/// assert_eq!(memory.peers("one").vm_count(), 3);
/// ```
#[derive(Debug, Default)]
pub struct PeerMemory {
    /// The VMs, and since when lists lack them.
    missing_since: HashMap<String, Option<Instant>>,
}

impl PeerMemory {
    /// Records the VMs that are listed at `now`, and forgets those that lists have lacked for long.
    pub fn update<'a>(&mut self, vms: impl Iterator<Item = &'a str>, now: Instant) {
        for missing_since in self.missing_since.values_mut() {
            missing_since.get_or_insert(now);
        }
        self.missing_since.extend(vms.map(|vm| (vm.to_owned(), None)));
        self.missing_since.retain(|_, missing_since| {
            missing_since.is_none_or(|since| now.saturating_duration_since(since) < RETENTION)
        });
    }

    /// The number of VMs.
    pub fn vm_count(&self) -> u32 {
        u32::try_from(self.missing_since.len()).unwrap_or(u32::MAX)
    }

    /// The VMs as peers of the VM `own`.
    pub fn peers(&self, own: &str) -> Peers {
        Peers::new(own, self.missing_since.keys().map(String::as_str))
    }
}
