use serde::{Deserialize, Serialize};

use crate::id;

/// The replicas of the lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// VMs with an empty replica that wait to be admitted.
    #[serde(default)]
    pub empty: Vec<id::Vm>,
}

/// One replica, as the VM that was asked knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The VM.
    pub vm: id::Vm,
    /// Whether it leads.
    pub leader: bool,
    /// Whether it may vote.
    pub voter: bool,
    /// The last entry of the log that it holds, where the VM that was asked is meant.
    pub index: Option<u64>,
}
