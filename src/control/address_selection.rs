use std::net::SocketAddr;

/// Maximum number of VM addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// The average number of times that a VM is listed where weights differ, so that ratios of weights
/// which are no whole numbers are met without leaving VMs out of most responses.
const ENTRIES_PER_VM: usize = 4;

/// Selects the addresses for one response of the directory from VMs with their weights.
///
/// Callers draw one address at random, each with the same chance. Where weights differ, a VM is
/// therefore listed as often as its weight calls for; `offset`, from 0 to 1, decides how fractions
/// are rounded, and is to differ between responses. Where all weights are equal, each VM is listed
/// once. Addresses that have not been listed yet come first, for callers that try several.
///
/// ```
/// use pomelogate::control::select_addresses;
///
/// let address = |last| std::net::SocketAddr::from(([10, 0, 0, last], 8144));
/// let (weak, strong) = (address(1), address(2));
/// assert_eq!(select_addresses(&[(weak, 75), (strong, 75)], 0.5), [weak, strong]);
/// let uneven = select_addresses(&[(weak, 100), (strong, 300)], 0.5);
/// assert_eq!(uneven.iter().filter(|listed| **listed == weak).count(), 2);
/// assert_eq!(uneven.iter().filter(|listed| **listed == strong).count(), 6);
/// ```
pub fn select_addresses(vms: &[(SocketAddr, u32)], offset: f64) -> Vec<SocketAddr> {
    if vms.iter().all(|(_, weight)| *weight == vms[0].1) {
        return vms.iter().map(|(address, _)| *address).take(MAX_ADDRESSES).collect();
    }
    let entries = (ENTRIES_PER_VM * vms.len()).min(MAX_ADDRESSES);
    let total: f64 = vms.iter().map(|(_, weight)| f64::from(*weight)).sum();
    // Systematic sampling: each VM has a section of its weight on a line with a mark in every
    // `total / entries`, and is listed once for each mark in its section.
    let marks_until = |weights: f64| (weights / total * entries as f64 + offset).floor() as usize;
    let mut before = 0.0;
    let mut counts: Vec<(SocketAddr, usize)> = Vec::with_capacity(vms.len());
    for (address, weight) in vms {
        let after = before + f64::from(*weight);
        counts.push((*address, marks_until(after) - marks_until(before)));
        before = after;
    }
    let mut selected = Vec::with_capacity(entries);
    while counts.iter().any(|(_, count)| *count > 0) {
        for (address, count) in counts.iter_mut().filter(|(_, count)| *count > 0) {
            selected.push(*address);
            *count -= 1;
        }
    }
    selected
}
