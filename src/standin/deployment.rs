use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
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
    for (region, count) in regions {
        for number in 1..=*count {
            peers.push(peer(region, number)?);
        }
    }
    let settings = |peer: &Peer| Settings {
        vm: peer.vm.clone(),
        region: peer.region.clone(),
        zone: peer.zone.clone(),
        callers: peer.callers,
        links: peer.links,
        peers: peers.clone(),
        plans: Some(samples.join("plans.json")),
        allowances: Some(samples.join("allowances.json")),
        ..Settings::default()
    };
    Ok(peers.iter().map(settings).collect())
}

fn peer(region: &str, number: usize) -> io::Result<Peer> {
    Ok(Peer {
        vm: id::Vm::from(format!("{region}-{number}")),
        region: id::Region::from(region),
        zone: id::Zone::from(format!("{region}-a")),
        callers: free_address()?,
        links: free_address()?,
    })
}

/// A loopback address whose port was free a moment ago.
///
/// # Errors
///
/// Where no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
