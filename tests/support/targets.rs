//! Stand-ins of targets, announced to a VM.

use std::{net::SocketAddr, time::Duration};

use pomelogate::{
    id,
    standin::{Engine, Fault, Pace, Reporter, Service},
    target::{Announcement, Offer},
};

pub const RENEWAL: Duration = Duration::from_millis(200);

/// What a target says of itself at first.
pub fn announcement(target: &str, region: &str, address: SocketAddr, offer: Offer) -> Announcement {
    Announcement {
        target: id::Target::from(target),
        address,
        region: id::Region::from(region),
        zone: id::Zone::from(format!("{region}-a")),
        offers: vec![offer],
        ..Announcement::default()
    }
}

/// The offer of a model at version 1.
pub fn model(name: &str) -> Offer {
    Offer::Model { model: id::Model::from(name), version: "1".into(), adapters: Vec::new() }
}

/// The offer of a plain service.
pub fn service(name: &str) -> Offer {
    Offer::Service { service: id::Service::from(name) }
}

/// Starts an engine and announces it to `vms`.
pub async fn engine(
    name: &str,
    region: &str,
    serves: &str,
    vms: &[SocketAddr],
    pace: Pace,
) -> (Engine, Reporter) {
    faulty(name, region, serves, vms, pace, Fault::None).await
}

/// Starts an engine that misbehaves and announces it to `vms`.
pub async fn faulty(
    name: &str,
    region: &str,
    serves: &str,
    vms: &[SocketAddr],
    pace: Pace,
    fault: Fault,
) -> (Engine, Reporter) {
    let engine = Engine::faulty(name.into(), pace, fault).await.expect("the engine starts");
    let announcement = announcement(name, region, engine.address(), model(serves));
    let load = engine.load();
    let announce = move || Announcement { load: load(), ..announcement.clone() };
    (engine, Reporter::start(vms.to_vec(), RENEWAL, announce))
}

/// Starts a plain service and announces it to `vms`.
pub async fn plain(
    name: &str,
    region: &str,
    serves: &str,
    vms: &[SocketAddr],
    delay: Duration,
) -> (Service, Reporter) {
    let running = Service::start(delay).await.expect("the service starts");
    let announcement = announcement(name, region, running.address(), service(serves));
    (running, Reporter::start(vms.to_vec(), RENEWAL, move || announcement.clone()))
}
