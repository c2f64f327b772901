use std::time::{Duration, Instant};

use crate::{
    continuation::{Ledger, Progress},
    id,
    registry::StateMachine,
};

#[derive(Default)]
pub(super) struct Vm {
    pub(super) down: bool,
    /// Changes at each kill.
    pub(super) epoch: u32,
    pub(super) cut_until: Option<Instant>,
    pub(super) ledger: Ledger,
    /// Positions of the targets to which the VM sends requests; `None` before its first update.
    pub(super) view: Option<Vec<usize>>,
    /// The replica that the VM follows, and its epoch.
    pub(super) followed: Option<(usize, u32)>,
}

#[derive(Default)]
pub(super) struct Replica {
    pub(super) down: bool,
    pub(super) epoch: u32,
    pub(super) cut_until: Option<Instant>,
    pub(super) ledger: Ledger,
    pub(super) progress: Progress,
    pub(super) state_machine: StateMachine,
    pub(super) applied: usize,
}

pub(super) struct Target {
    pub(super) version: id::SoftwareVersion,
    /// Host part of the address; a target that starts again keeps it.
    pub(super) host: u8,
    pub(super) alive: bool,
    /// Whether the target has told that it leaves.
    pub(super) leaving: bool,
}

#[derive(Clone)]
pub(super) struct Stream {
    /// The version of its first event.
    pub(super) version: Option<id::SoftwareVersion>,
    pub(super) deadline: Instant,
    pub(super) length: Duration,
    /// The VM and the target that carry it, while it runs.
    pub(super) place: Option<(usize, usize)>,
    pub(super) tries: u32,
    pub(super) eligible: bool,
    pub(super) on: bool,
    pub(super) mixed: bool,
}
