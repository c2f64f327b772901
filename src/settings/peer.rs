use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// A VM, as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes callers, targets and operators, over HTTP.
    pub callers: SocketAddr,
    /// Where it takes links from other VMs.
    pub links: SocketAddr,
}
