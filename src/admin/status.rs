use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{id, target::Load};

/// What a VM knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The lists in force on it.
    pub versions: Versions,
    /// The VMs in its settings, itself included.
    pub members: Vec<Member>,
    /// The targets that may get new work.
    pub targets: Vec<Target>,
}

/// The versions of the lists in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the plans.
    pub plans: u64,
    /// Of the allowances.
    pub allowances: u64,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Where it takes callers and operators.
    pub address: SocketAddr,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The target.
    pub target: id::Target,
    /// Its region.
    pub region: id::Region,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// What it serves, such as `assistant@1` or `jobs`.
    pub serves: Vec<String>,
    /// Its load, as it last reported it.
    pub load: Load,
}
