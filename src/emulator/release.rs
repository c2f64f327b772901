//! Releases in virtual time: targets of one software version are replaced by those of the next
//! while streams break off and are taken up, and VMs and replicas are killed and cut off.
//!
//! The records and decisions are the product's ([`crate::continuation`],
//! [`StateMachine`](crate::registry::StateMachine)); consensus is reduced to its result.

mod node;
mod outcome;
mod rule;
mod scenario;
mod world;

pub use self::{outcome::Outcome, rule::Rule, scenario::Scenario, world::World};
