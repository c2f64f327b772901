use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;

/// What a planned stop takes out of service: a target, a VM, an availability zone or a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One target.
    Target(id::Target),
    /// One VM.
    Vm(id::Vm),
    /// One availability zone, with its VMs and its targets.
    Zone(id::Zone),
    /// One region, with its VMs and its targets.
    Region(id::Region),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(target) => write!(f, "target/{target}"),
            Self::Vm(vm) => write!(f, "vm/{vm}"),
            Self::Zone(zone) => write!(f, "zone/{zone}"),
            Self::Region(region) => write!(f, "region/{region}"),
        }
    }
}
