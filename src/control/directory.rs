use std::{net::SocketAddr, sync::Arc, time::Duration};

use prost::bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, select_addresses, server::lock};
use crate::{
    id,
    registry::{VmInfo, VmWeights},
    route::Table,
};

/// Time after its start during which a replica answers no directory queries, because it does not
/// know all VMs yet. Each VM asks a replica for updates once a second.
const STARTUP_DELAY: Duration = Duration::from_millis(1500);

/// A caller's question which VMs to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Host name that the caller wants to send requests to.
    pub host: String,
    /// Region of the caller.
    pub region: id::Region,
}

/// The VMs that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Addresses at which the VMs accept callers. Where the weights of VMs differ, heavier ones are
    /// listed several times.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the response.
    pub ttl: Duration,
}

impl Control {
    /// Returns the VMs that a caller should use, or `None` if this replica knows no ready VM or has
    /// just started.
    ///
    /// These are the ready VMs of the caller's region. If there are none, they are those of the
    /// regions that every route of the host allows, and otherwise all ready VMs.
    pub fn directory(&self, query: &DirectoryQuery) -> Option<Directory> {
        let now = self.clock.now();
        if now.saturating_duration_since(self.started_at) < STARTUP_DELAY {
            return None;
        }
        let table = self.route_table();
        let heartbeats = self.heartbeats();
        let offset = rounding_offset(now.saturating_duration_since(self.started_at));
        let ready = |wanted: &dyn Fn(&VmInfo) -> bool| -> Vec<SocketAddr> {
            let live = heartbeats.live_vms(now).map(|(vm, _)| vm);
            let is_wanted = |vm: &&VmInfo| vm.ready && vm.callers_address().is_some() && wanted(vm);
            let found: Vec<&VmInfo> = live.filter(is_wanted).collect();
            let weights = VmWeights::new(found.iter().copied());
            let weighted = |vm: &&VmInfo| Some((vm.callers_address()?, weights.weight(vm)));
            select_addresses(&found.iter().filter_map(weighted).collect::<Vec<_>>(), offset)
        };
        let mut addresses = ready(&|vm| vm.region == query.region.as_str());
        if addresses.is_empty() {
            let is_allowed = |vm: &VmInfo| {
                let region = id::Region::from(vm.region.as_str());
                table.as_ref().is_none_or(|table| {
                    table.routes_for_host(&query.host).all(|route| route.allows(&region))
                })
            };
            addresses = ready(&is_allowed);
        }
        if addresses.is_empty() {
            addresses = ready(&|_| true);
        }
        (!addresses.is_empty())
            .then_some(Directory { addresses, ttl: self.settings.bounds.directory_ttl })
    }

    /// The parsed list of routes as this replica knows it, which may lag behind the leader.
    pub(super) fn route_table(&self) -> Option<Arc<Table>> {
        let group = self.group()?;
        let mut cached = lock(&self.route_table);
        let version = group.read(|registry| registry.routes_version());
        if cached.as_ref().is_none_or(|table| table.version != version) {
            let text: Bytes = group.read(|registry| registry.routes().clone());
            *cached = (self.parse_routes)(&text).ok().map(Arc::new);
        }
        cached.clone()
    }
}

/// An offset for [`select_addresses`] that differs between responses and is uniform from 0 to 1.
fn rounding_offset(since_start: Duration) -> f64 {
    xxh3_64(&since_start.as_nanos().to_le_bytes()) as f64 / u64::MAX as f64
}
