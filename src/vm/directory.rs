use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// The VMs that a caller should use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The VMs.
    pub vms: Vec<DirectoryEntry>,
    /// Seconds for which the answer may be used.
    pub ttl: u64,
}

/// One VM that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes callers.
    pub address: SocketAddr,
}
