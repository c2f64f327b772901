use std::fmt;

use crate::id;

/// A member of a group: a VM together with the identity of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// The random identity that the VM's folder got when it was created.
    pub disk_id: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.vm, self.disk_id)
    }
}
