//! A VM that takes callers by routes: finds the rule of a request, sends it to a target of its
//! region or hands it to a VM of another one, and gives back the target's whole answer or a break
//! that nobody takes for one.
//!
//! The decisions are [`Balancer`] (which target), [`Admission`] (here, elsewhere or not at all),
//! [`Allowance`] (may it be sent again), [`Suspects`] (does it crash targets), [`Events`] (what of a
//! stream is whole); the rest carries requests and answers.

mod admission;
mod allowance;
mod attempt;
mod attempts;
mod balancer;
mod call;
mod dialect;
mod events;
mod figures;
mod flow;
mod follow;
mod journey;
mod load_sharing;
mod outcome;
mod passage;
mod peers;
mod pool;
mod prompt;
mod rate;
mod record;
mod serve;
mod shell;
mod suspects;
mod target_tracker;

pub use self::{
    admission::{Admission, AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad},
    allowance::Allowance,
    attempts::Attempts,
    balancer::{Balancer, LocalLoad, Pick, TargetQuery},
    dialect::Dialect,
    events::Events,
    peers::Peers,
    prompt::{Part, Prompt},
    shell::{Gateway, Running},
    suspects::Suspects,
    target_tracker::{InFlight, LoadReport},
};
pub(crate) use self::{load_sharing::share_interval, target_tracker::SentRequest};
