//! Settings, links and metrics of a VM in a deployment that is known only by a few seed VMs.
//!
//! The name of a VM is its IP address. All VMs accept links on the same port, so a VM can connect
//! to any VM whose name it knows. It learns the other VMs from the seeds and remembers them. A VM
//! that accepts callers ([`crate::gateway`]) holds no state. A VM with a disk ([`crate::control`])
//! runs a replica of the registry.

mod bounds;
mod error;
mod links;
mod machine;
mod metrics;
mod settings;

pub(crate) use self::links::Links;
pub use self::{
    bounds::Bounds,
    error::Error,
    machine::Machine,
    metrics::{EXPLAIN_PATH, serve_metrics, serve_pages},
    settings::Settings,
};
