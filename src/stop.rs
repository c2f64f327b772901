//! Planned stops of targets, VMs, availability zones and regions, as operators announced them.

mod plan;
mod scope;

pub use self::{plan::Plan, scope::Scope};
