use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{
    id,
    settings::{Peer, Settings},
};

const FIRST_PORT: u16 = 20_000;

/// Settings of the VMs of a deployment on loopback, with free ports and the lists of `samples`.
///
/// Each region gets VMs named after it: `jakarta-1`, `jakarta-2` and so on.
pub fn deployment(samples: &Path, regions: &[(&str, usize)]) -> Vec<Settings> {
    let address = own_address();
    let names = regions
        .iter()
        .flat_map(|(region, count)| (1..=*count).map(move |number| (*region, number)));
    let ports = (FIRST_PORT..).step_by(2);
    let peers: Vec<Peer> = names
        .zip(ports)
        .map(|((region, number), port)| peer(address, region, number, port))
        .collect();
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
    peers.iter().map(settings).collect()
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

fn peer(address: Ipv4Addr, region: &str, number: usize, port: u16) -> Peer {
    Peer {
        vm: id::Vm::from(format!("{region}-{number}")),
        region: id::Region::from(region),
        zone: id::Zone::from(format!("{region}-a")),
        callers: SocketAddr::from((address, port)),
        links: SocketAddr::from((address, port + 1)),
    }
}

/// A loopback address that no other deployment on this machine uses.
///
/// Its ports are not tried by binding them: a process that another thread forks would hold the
/// socket until it runs its program, and the VM could not bind the port meanwhile.
fn own_address() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + process[2] % 128, process[3], 1 + count[3] % 254)
}

/// A loopback address and port that nothing else uses.
pub fn free_address() -> SocketAddr {
    SocketAddr::from((own_address(), FIRST_PORT))
}
