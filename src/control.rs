//! A VM with a disk: a replica of the registry, which takes targets and operators, tells the VMs
//! that take callers what changed, and names those VMs to callers.

mod answer;
mod directory;
mod follow;
mod page;
mod propose;
mod replicas;
mod shell;

pub(crate) use self::shell::lock;
pub use self::{
    answer::{Refused, Verdict},
    directory::{Asker, Directory},
    shell::{Control, ReadRoutes},
};
