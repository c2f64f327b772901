//! A VM of a deployment that is known only by a few seeds: its settings.
//!
//! VMs are named by their IP numbers and take links on one port that is the same on all of them,
//! so that a VM reaches each VM of which it learns the name. Which VMs there are, is learned from
//! the seeds and remembered; a VM that takes callers ([`crate::gateway`]) holds no state, a VM with
//! a disk ([`crate::control`]) is a replica of the registry.

mod bounds;
mod error;
mod links;
mod metrics;
mod settings;

pub(crate) use self::links::Links;
pub use self::{bounds::Bounds, error::Error, metrics::serve_metrics, settings::Settings};
