//! Small stand-ins for engines in virtual time, to compare placement policies under load.
//!
//! Engines batch continuously, keep a limited prefix cache, and report load and cache events
//! late. It models what placement sees, and no more of a cluster.

mod engine;
mod job;
mod outcome;
mod pace;
pub mod peak;
mod prefix;
pub mod release;
mod scenario;
mod traffic;
mod world;

pub use self::{
    engine::{Engine, Output},
    job::Job,
    outcome::Outcome,
    pace::Pace,
    prefix::Prefix,
    scenario::{Scenario, Shape},
    traffic::Traffic,
    world::World,
};
