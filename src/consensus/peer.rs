use std::fmt;

use crate::id;

/// The identity of a replica: a VM together with the ID of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// The random ID that the replica's folder got when it was created.
    pub disk_id: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.vm, self.disk_id)
    }
}
