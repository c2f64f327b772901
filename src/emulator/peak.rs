//! Regions that peak in turn, in virtual time: model engines that read long shared prompts, many
//! VMs before them that learn late of each other, and policies that place the same requests.
//!
//! The policy of the product is run as it is ([`Balancer`](crate::gateway::Balancer),
//! [`Admission`](crate::gateway::Admission)); the others are what a plain balancer does.

mod engine;
mod outcome;
mod place;
mod policy;
mod site;
mod world;

pub use self::{
    engine::{Engine, Job, Pace, Progress},
    outcome::{Outcome, Window},
    policy::Policy,
    site::{Class, Region, Site},
    world::World,
};
