//! Planned stops of targets, VMs, availability zones and regions, as announced by operators, and the
//! time that a process has to stop.

mod answer_times;
mod grace;
mod in_flight;
mod planned_stops;
mod scope;

pub use self::{
    answer_times::AnswerTimes, grace::Grace, in_flight::InFlight, planned_stops::PlannedStops,
    scope::Scope,
};
