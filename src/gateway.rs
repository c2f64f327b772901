//! A VM that takes callers by routes: finds the rule of a request, sends it to a target of its
//! region or hands it to a VM of another one, and gives back the target's whole answer or a break
//! that nobody takes for one.
//!
//! The decisions are [`Balancer`] (which target), [`Admission`] (here, elsewhere or not at all),
//! [`RetryBudget`] (may it be sent again), [`CrashSuspects`] (does it crash targets), [`EventSplitter`] (what of a
//! stream is whole); the rest carries requests and answers.

mod admission;
mod attempt;
mod attempts;
mod balancer;
mod connection_pool;
mod crash_suspects;
mod decaying_rate;
mod dispatch;
mod event_splitter;
mod handover;
mod header_names;
mod load_sharing;
mod metrics;
mod outcome;
mod peers;
mod prompt;
mod record;
mod registry_sync;
mod retry_budget;
mod routed_request;
mod serve;
mod server;
mod streaming_body;
mod target_tracker;

pub use self::{
    admission::{Admission, AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad},
    attempts::Attempts,
    balancer::{Balancer, LocalLoad, Pick, TargetQuery},
    crash_suspects::CrashSuspects,
    event_splitter::EventSplitter,
    header_names::HeaderNames,
    peers::Peers,
    prompt::{Prompt, PromptPart},
    retry_budget::RetryBudget,
    server::{Gateway, RunningGateway},
    target_tracker::{InFlight, LoadReport},
};
pub(crate) use self::{load_sharing::share_interval, target_tracker::SentRequest};
