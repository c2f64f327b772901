use crate::id;

/// A VM from which lists can be fetched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Whether it holds a replica of the group `lists`.
    pub holds_replica: bool,
}

/// The VMs of a region that fetch from the replicas, for the others of their region.
const RELAYS: usize = 2;

/// The peers to fetch from, the preferred ones first.
///
/// The first VMs of a region fetch from the replicas and relay to the rest of their region, so
/// that the load on a replica grows with the regions and not with the VMs. After the preferred
/// ones come the region's peers, then all.
pub(super) fn fetch_order(vm: &id::Vm, region: &id::Region, peers: &[Peer]) -> Vec<id::Vm> {
    let mut near: Vec<&Peer> = peers.iter().filter(|peer| peer.region == *region).collect();
    near.sort();
    let own = peers.iter().any(|peer| peer.vm == *vm && peer.holds_replica);
    let rank = near.iter().filter(|peer| peer.vm < *vm && !peer.holds_replica).count();
    let replicas = peers.iter().filter(|peer| peer.holds_replica);
    let near_replicas = near.iter().filter(|peer| peer.holds_replica).copied();
    let relays = near.iter().filter(|peer| !peer.holds_replica).take(RELAYS).copied();
    let mut order: Vec<&Peer> = near_replicas.collect();
    if own || rank < RELAYS {
        order.extend(replicas);
    } else {
        order.extend(relays);
    }
    order.extend(near.iter().copied());
    order.extend(peers);
    let mut seen = std::collections::HashSet::new();
    let names = order.into_iter().map(|peer| peer.vm.clone());
    names.filter(|peer| peer != vm && seen.insert(peer.clone())).collect()
}
