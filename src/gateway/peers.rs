use xxhash_rust::xxh3::xxh3_64;

use crate::id;

/// The VMs that share what the targets of a region bear, as one of them sees it.
///
/// A VM's share is worked out without asking anybody. Where there is less than one to share for
/// each, the first in an order that is another one for each target have it, and the rest nothing.
///
/// ```
/// use pomelogate::gateway::Peers;
///
/// let shares = |vms: &[&str], rate| -> Vec<u32> {
///     let share = |own| Peers::new(own, vms.iter().copied()).share_per_sec(&"engine".into(), rate);
///     vms.iter().map(|own| share(*own)).collect()
/// };
/// assert_eq!(shares(&["one", "two"], 5.0), [2, 2]);
/// assert_eq!(shares(&["one", "two", "three", "four", "five"], 2.0).iter().sum::<u32>(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    own: u64,
    others: Vec<u64>,
}

impl Peers {
    /// The view of `own` among the VMs named, whether it is one of them or not.
    pub fn new<'a>(own: &str, vms: impl Iterator<Item = &'a str>) -> Self {
        let number = |vm: &str| xxh3_64(vm.as_bytes());
        Self { own: number(own), others: vms.filter(|vm| *vm != own).map(number).collect() }
    }

    /// How many VMs there are.
    pub fn vm_count(&self) -> u32 {
        u32::try_from(self.others.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// This VM's part of the `rate` requests a second that a target bears.
    pub fn share_per_sec(&self, target: &id::Target, rate: f64) -> u32 {
        let each = rate / f64::from(self.vm_count());
        if each >= 1.0 {
            return each as u32;
        }
        let subject = xxh3_64(target.as_str().as_bytes());
        let place = |vm: u64| xxh3_64(&(vm ^ subject).to_le_bytes());
        let before = self.others.iter().filter(|vm| place(**vm) < place(self.own)).count();
        u32::from((before as f64) < rate)
    }
}
