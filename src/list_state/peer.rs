use crate::id;

/// A VM from which list versions can be fetched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Whether it has a replica of the group `lists`.
    pub holds_replica: bool,
}

/// Number of VMs in a region that fetch from the replicas, on behalf of the other VMs there.
const RELAYS_PER_REGION: usize = 2;

/// The peers to fetch from, preferred ones first.
///
/// The first VMs of a region by name are relays: they fetch from the replicas, and the rest of the
/// region fetches from them. The load on a replica thus grows with the number of regions and not of
/// VMs. The region's other peers come next as fallbacks, then all peers.
pub(super) fn fetch_order(vm: &id::Vm, region: &id::Region, peers: &[Peer]) -> Vec<id::Vm> {
    let mut region_peers: Vec<&Peer> = peers.iter().filter(|peer| peer.region == *region).collect();
    region_peers.sort();
    let has_own_replica = peers.iter().any(|peer| peer.vm == *vm && peer.holds_replica);
    let lower_named_peers =
        region_peers.iter().filter(|peer| peer.vm < *vm && !peer.holds_replica).count();
    let replicas = peers.iter().filter(|peer| peer.holds_replica);
    let region_replicas = region_peers.iter().filter(|peer| peer.holds_replica).copied();
    let relays =
        region_peers.iter().filter(|peer| !peer.holds_replica).take(RELAYS_PER_REGION).copied();
    let mut order: Vec<&Peer> = region_replicas.collect();
    if has_own_replica || lower_named_peers < RELAYS_PER_REGION {
        order.extend(replicas);
    } else {
        order.extend(relays);
    }
    order.extend(region_peers.iter().copied());
    order.extend(peers);
    let mut seen = std::collections::HashSet::new();
    let names = order.into_iter().map(|peer| peer.vm.clone());
    names.filter(|peer| peer != vm && seen.insert(peer.clone())).collect()
}
