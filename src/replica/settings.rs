use std::path::PathBuf;

use crate::{consensus, id};

/// The settings of one replica of a group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the group.
    pub group: String,
    /// The VM that the replica runs on.
    pub vm: id::Vm,
    /// The VMs that may form the group as its first voters; the same list on each of them.
    pub initial_voters: Vec<id::Vm>,
    /// The folder of this replica, which no other replica may share; created if it is missing.
    pub folder: PathBuf,
    /// Timeouts and limits of the consensus.
    pub consensus: consensus::Settings,
    /// The number of committed entries after which a snapshot replaces the log.
    pub snapshot_every_entries: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group: "lists".to_owned(),
            vm: id::Vm::from(""),
            initial_voters: Vec::new(),
            folder: PathBuf::from("data"),
            consensus: consensus::Settings::default(),
            snapshot_every_entries: 4096,
        }
    }
}
