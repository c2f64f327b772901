//! A VM that accepts callers.
//!
//! It finds the route of a request, sends the request to a target of its region or hands it over to a
//! VM of another region, and returns either the complete response of the target or an error that no
//! caller can mistake for one.
//!
//! The decisions are made by [`Balancer`] (which target), [`Admission`] (this region, another one or
//! a refusal), [`RetryBudget`] (whether to retry), [`CrashSuspects`] (whether a request crashes
//! targets) and [`EventSplitter`] (which events of a stream are complete). The other modules move
//! requests and responses.

mod admission;
mod attempt;
mod attempts;
mod balancer;
mod call;
mod connection_pool;
mod crash_suspects;
mod decaying_rate;
mod dialect;
mod event_splitter;
mod flow;
mod follow;
mod journey;
mod load_sharing;
mod metrics;
mod outcome;
mod passage;
mod peers;
mod prompt;
mod record;
mod retry_budget;
mod serve;
mod server;
mod target_tracker;

pub use self::{
    admission::{Admission, AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad},
    attempts::Attempts,
    balancer::{Balancer, LocalLoad, Pick, TargetQuery},
    crash_suspects::CrashSuspects,
    dialect::Dialect,
    event_splitter::EventSplitter,
    peers::Peers,
    prompt::{Prompt, PromptPart},
    retry_budget::RetryBudget,
    server::{Gateway, RunningGateway},
    target_tracker::{InFlight, LoadReport},
};
pub(crate) use self::{load_sharing::share_interval, target_tracker::SentRequest};
