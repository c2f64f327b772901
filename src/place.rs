//! Placement: which target, or which other region, takes a request.
//!
//! A [`Policy`] is a pure decision on one VM: a [`Query`] in, a [`Decision`] out. It learns from
//! what it sent, from the targets' load reports and cache events, and from the regions' summaries.

mod cache;
mod candidate;
mod decision;
mod estimate;
mod policy;
mod prompt;
mod query;
mod rule;
mod settings;
mod spill;
mod summary;
mod track;

pub use self::{
    cache::{Cache, Update},
    candidate::Candidate,
    decision::{Cause, Choice, Decision},
    policy::Policy,
    prompt::Prompt,
    query::Query,
    rule::Rule,
    settings::Settings,
    summary::Summary,
};
