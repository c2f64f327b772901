//! Placement: selects the target, or the other region, that serves a request.
//!
//! A [`Policy`] decides for one VM and does no I/O: it takes a [`Query`] and returns a
//! [`Decision`]. It estimates costs from the requests that this VM sent, the load reports and
//! cache events of the targets, and the summaries of the other regions.

mod algorithm;
mod cache_index;
mod candidate;
mod cost_estimate;
mod decision;
mod hand_over_log;
mod policy;
mod prompt;
mod query;
mod region_summary;
mod settings;
mod target_state;

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
