use std::path::PathBuf;

use crate::{consensus, id};

/// How one replica of a group runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the group.
    pub group: String,
    /// This VM.
    pub vm: id::Vm,
    /// The VMs that are the group's first voters; the same list on each of them.
    pub initial_voters: Vec<id::Vm>,
    /// The folder of this group alone; it is made where it is missing.
    pub folder: PathBuf,
    /// Timings and bounds of the agreement.
    pub consensus: consensus::Settings,
    /// Committed entries after which a snapshot replaces the log.
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
