use super::VmInfo;

/// The weights of some VMs.
///
/// A VM that reports no weight, because its settings name no resources or its process is older, gets
/// the lowest weight that another one reports: a strong VM with little work costs less than a weak
/// one with too much.
///
/// ```
/// use pomelogate::registry::{VmInfo, VmWeights};
///
/// let vm = |weight| VmInfo { weight, ..VmInfo::default() };
/// let vms = [vm(250), vm(75), vm(0)];
/// let weights = VmWeights::new(&vms);
/// assert_eq!(vms.each_ref().map(|vm| weights.weight(vm)), [250, 75, 75]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct VmWeights {
    least: u32,
}

impl VmWeights {
    /// The weights of `vms`.
    pub fn new<'a>(vms: impl IntoIterator<Item = &'a VmInfo>) -> Self {
        let reported = vms.into_iter().map(|vm| vm.weight).filter(|weight| *weight > 0);
        Self { least: reported.min().unwrap_or(1) }
    }

    /// The weight of one of the VMs, at least 1.
    pub fn weight(&self, vm: &VmInfo) -> u32 {
        if vm.weight == 0 { self.least } else { vm.weight }
    }

    /// Sorts `vms` by the preference of one VM, which has a random `hash` for each of the others.
    /// Over all VMs that prefer, each one is preferred in proportion to its weight (weighted
    /// rendezvous hashing). With equal weights the order is that of the hashes.
    pub fn sort_by_preference(&self, vms: &mut [&VmInfo], hash: impl Fn(&VmInfo) -> u64) {
        vms.sort_by_cached_key(|vm| {
            let hash = hash(vm);
            let uniform = hash as f64 / u64::MAX as f64;
            let score = -(-uniform).ln_1p() / f64::from(self.weight(vm));
            // The bits of floating-point numbers above zero have the order of the numbers.
            (score.max(0.0).to_bits(), hash)
        });
    }
}
