//! A VM with a disk: a replica of the registry, which takes targets and operators, tells the VMs
//! that take callers what changed, and names those VMs to callers.

mod directory;
mod metrics;
mod outcome;
mod propose;
mod replica;
mod server;
mod updates;

pub(crate) use self::server::lock;
pub use self::{
    directory::{Directory, DirectoryQuery},
    outcome::{CommandError, Outcome},
    server::{Control, ReadRoutes},
};
