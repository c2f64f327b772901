//! Placement: which target, or which other region, takes a request.
//!
//! A [`Policy`] is a pure decision on one VM: a [`Query`] in, a [`Decision`] out. It learns from
//! what it sent, from the targets' load reports and cache events, and from the regions' summaries.

mod algorithm;
mod cache_index;
mod candidate;
mod decision;
mod estimate;
mod policy;
mod prompt;
mod query;
mod region_summary;
mod settings;
mod spill;
mod track;

pub use self::{
    algorithm::Algorithm,
    cache_index::{CacheEvent, CacheIndex},
    candidate::Candidate,
    decision::{Cause, Choice, Decision},
    policy::Policy,
    prompt::Prompt,
    query::Query,
    region_summary::RegionSummary,
    settings::Settings,
};
