use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id,
    target::{Load, Need},
};

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
    /// The VMs that it does not take for gone, itself included.
    pub members: Vec<Member>,
    /// The VMs that hold the lists, as its settings name them.
    #[serde(default)]
    pub replicas: Vec<id::Vm>,
    /// The targets of its region that may get new work.
    pub targets: Vec<Target>,
    /// What other regions can serve.
    pub elsewhere: Vec<Elsewhere>,
}

/// What another region can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The region.
    pub region: id::Region,
    /// What its targets serve.
    pub need: Need,
    /// How many targets serve it.
    pub targets: u32,
    /// The requests that their batches have room for.
    pub free: u32,
    /// The requests that wait at them.
    pub waiting: u32,
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
