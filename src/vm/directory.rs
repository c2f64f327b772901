use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// The answer to a caller that asks which VMs to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The VMs, in the order in which the caller should try them.
    pub vms: Vec<DirectoryEntry>,
    /// Seconds for which the caller may use the answer.
    pub ttl: u64,
}

/// One VM that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The name of the VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The address that serves callers.
    pub address: SocketAddr,
}
