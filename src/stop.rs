//! Planned stops of targets, VMs, availability zones and regions, as announced by operators.

mod planned_stops;
mod scope;

pub use self::{planned_stops::PlannedStops, scope::Scope};
