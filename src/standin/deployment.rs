use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{
    id,
    settings::{Peer, Settings},
};

/// Settings of the VMs of a deployment on loopback, with free ports and the lists of `samples`.
///
/// Each region gets VMs named after it: `jakarta-1`, `jakarta-2` and so on.
///
/// # Errors
///
/// Where no port is free.
pub fn deployment(samples: &Path, regions: &[(&str, usize)]) -> io::Result<Vec<Settings>> {
    let mut peers = Vec::new();
    let address = own_address();
    for (region, count) in regions {
        for number in 1..=*count {
            peers.push(peer(address, region, number)?);
        }
    }
    let settings = |peer: &Peer| Settings {
        vm: peer.vm.clone(),
        region: peer.region.clone(),
        zone: peer.zone.clone(),
        callers: peer.callers,
        links: peer.links,
        peers: peers.clone(),
        names: Some(samples.join("names.json")),
        plans: Some(samples.join("plans.json")),
        allowances: Some(samples.join("allowances.json")),
        ..Settings::default()
    };
    Ok(peers.iter().map(settings).collect())
}

/// The same settings with replicas on the first VM of each region, whose data folders stand in
/// `folder`.
pub fn with_disks(settings: Vec<Settings>, folder: &Path) -> Vec<Settings> {
    let first = |vm: &id::Vm| vm.as_str().ends_with("-1");
    let replicas: Vec<id::Vm> =
        settings.iter().map(|settings| settings.vm.clone()).filter(first).collect();
    let with_disk = |settings: Settings| Settings {
        data: replicas.contains(&settings.vm).then(|| folder.join(settings.vm.as_str())),
        replicas: replicas.clone(),
        ..settings
    };
    settings.into_iter().map(with_disk).collect()
}

fn peer(address: Ipv4Addr, region: &str, number: usize) -> io::Result<Peer> {
    Ok(Peer {
        vm: id::Vm::from(format!("{region}-{number}")),
        region: id::Region::from(region),
        zone: id::Zone::from(format!("{region}-a")),
        callers: free_address(address)?,
        links: free_address(address)?,
    })
}

/// A loopback address that no other deployment on this machine uses, so that a port that is free
/// now stays free until its VM starts.
fn own_address() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + process[2] % 128, process[3], 1 + count[3] % 254)
}

/// An address at `address` whose port was free a moment ago.
///
/// # Errors
///
/// Where no port is free.
pub fn free_address(address: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((address, 0))?.local_addr()
}
