//! A VM with a disk, which runs a replica of the registry.
//!
//! It accepts targets and operators, sends updates of the registry to the VMs that accept callers,
//! and tells callers which of those VMs to use.

mod address_selection;
mod cold_targets;
mod directory;
mod metrics;
mod outcome;
mod propose;
mod quotas;
mod replica;
mod server;
mod streams;
mod updates;

pub(crate) use self::server::lock;
pub use self::{
    address_selection::select_addresses,
    directory::{Directory, DirectoryQuery},
    outcome::{CommandError, Outcome},
    server::{Control, ParseRoutes},
};
