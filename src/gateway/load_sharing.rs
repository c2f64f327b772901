use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::Timer;

use super::{server::Gateway, target_tracker};
use crate::{id, registry::Target, wire::Topic};

/// How often the VMs of a region tell each other of their work at targets: a prompt is read in
/// tens to hundreds of milliseconds.
const PACE: Duration = Duration::from_millis(100);
/// With more VMs in a region each tells the others less often, so that what a VM receives stays
/// the same: at most this many messages in each `PACE`.
const MOST_MESSAGES: u32 = 8;

/// How often one of a region's VMs tells `others` others of its work.
pub(crate) fn share_interval(others: u32) -> Duration {
    PACE * (others / MOST_MESSAGES + 1)
}

/// The work that one VM has at targets.
#[derive(Clone, PartialEq, Message)]
struct Shared {
    #[prost(message, repeated, tag = "1")]
    work: Vec<Work>,
}

#[derive(Clone, PartialEq, Message)]
struct Work {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    unread: u32,
    #[prost(uint32, tag = "4")]
    pause_ms: u32,
}

impl Gateway {
    /// Tells the other VMs of the region of this one's work, as long as it changes.
    pub(super) async fn share_load(self: Arc<Self>) {
        let mut former = Shared::default();
        loop {
            let siblings = self.siblings();
            let count = u32::try_from(siblings.len()).unwrap_or(u32::MAX);
            Timer::after(share_interval(count)).await;
            let shared = self.shared();
            if shared == former && shared.work.is_empty() {
                continue;
            }
            let payload = Bytes::from(shared.encode_to_vec());
            for address in siblings {
                let hub = Arc::clone(&self.hub);
                let payload = payload.clone();
                smol::spawn(async move {
                    let _ = hub.notify(address, Topic::Work, payload).await;
                })
                .detach();
            }
            former = shared;
        }
    }

    fn shared(&self) -> Shared {
        let balancer = self.balancer();
        let work = balancer.own_in_flight(self.clock.now()).map(|(target, work)| Work {
            target: target.to_string(),
            requests: work.requests,
            unread: work.unread_tokens as u32,
            pause_ms: (work.stream_gap_secs * 1000.0) as u32,
        });
        Shared { work: work.collect() }
    }

    fn siblings(&self) -> Vec<SocketAddr> {
        let own = self.settings.vm();
        let here = self.settings.region.as_str();
        let mirror = self.mirror();
        let near = mirror.vms().iter().filter(|vm| {
            !vm.callers_address.is_empty() && vm.region == here && vm.vm != own.as_str()
        });
        near.filter_map(|vm| vm.links_address()).collect()
    }

    /// Takes what another VM of the region said of its work.
    pub(super) fn receive_load(&self, from: &id::Vm, payload: &Bytes) {
        let Ok(shared) = Shared::decode(payload.clone()) else { return };
        let now = self.clock.now();
        let work: HashMap<&str, &Work> =
            shared.work.iter().map(|work| (work.target.as_str(), work)).collect();
        let mirror = self.mirror();
        let mut balancer = self.balancer();
        let near =
            |target: &&Target| self.settings.region_of(&target.zone) == Some(&self.settings.region);
        for target in mirror.services().flat_map(|(_, targets)| targets).filter(near) {
            let told = work.get(target.target.as_str()).map_or(
                target_tracker::InFlight::default(),
                |work| target_tracker::InFlight {
                    requests: work.requests,
                    unread_tokens: f64::from(work.unread),
                    stream_gap_secs: f64::from(work.pause_ms) / 1000.0,
                },
            );
            balancer.record_peer_in_flight(from.as_str(), target, told, now);
        }
    }
}
