use xxhash_rust::xxh3::xxh3_64;

use crate::id;

/// The VMs that share the request limits of a region's targets, as seen by one of them.
///
/// Each VM computes its share without coordination. If the limit is lower than the number of VMs,
/// the VMs are ranked by a hash that depends on the target: the first ones get one request each,
/// the rest none.
///
/// ```
/// use pomelogate::gateway::Peers;
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

    /// This VM's share of the `limit_per_sec` requests a second that a target may get from all VMs.
    pub fn share_per_sec(&self, target: &id::Target, limit_per_sec: f64) -> u32 {
        let per_vm = limit_per_sec / f64::from(self.vm_count());
        if per_vm >= 1.0 {
            return per_vm as u32;
        }
        let target_hash = xxh3_64(target.as_str().as_bytes());
        let rank = |vm: u64| xxh3_64(&(vm ^ target_hash).to_le_bytes());
        let ranked_before =
            self.other_hashes.iter().filter(|vm| rank(**vm) < rank(self.own_hash)).count();
        u32::from((ranked_before as f64) < limit_per_sec)
    }
}
