//! A VM that accepts callers.
//!
//! It finds the route of a request, sends the request to a target of its region or hands it over to
//! a VM of another region, and returns either the complete response of the target or an error that
//! no caller can mistake for one.
//!
//! The decisions are made by [`Balancer`] (which target), [`Admission`] (this region, another one
//! or a refusal), [`RetryBudget`] (whether to retry), [`CrashSuspects`] (whether a request crashes
//! targets) and [`EventSplitter`] (which events of a stream are complete). The other modules move
//! requests and responses.

mod admission;
mod attempt;
mod attempts;
mod authentication;
mod balancer;
mod capacity_estimate;
mod connection_pool;
mod crash_check;
mod crash_suspects;
mod decaying_rate;
mod dispatch;
mod event_splitter;
mod explain;
mod fair_shares;
mod grace;
mod handover;
mod header_names;
mod load_sharing;
mod metrics;
mod outcome;
mod prefix_cache;
mod prompt;
mod quotas;
mod record;
mod registry_sync;
mod retry_budget;
mod routed_request;
mod serve;
mod server;
mod stream_records;
mod streaming_body;
mod suspension_detector;
mod target_priority;
mod target_tracker;
mod version_binding;

pub(crate) use self::load_sharing::share_interval;
pub use self::{
    admission::{
        Admission, AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad, priority_limit_secs,
    },
    attempts::Attempts,
    balancer::{Balancer, LocalLoad, Pick, SentPrompt, TargetQuery},
    capacity_estimate::CapacityEstimate,
    crash_suspects::{CrashBlock, CrashSuspects},
    event_splitter::EventSplitter,
    header_names::HeaderNames,
    prefix_cache::PrefixCache,
    prompt::{Prompt, PromptPart},
    retry_budget::RetryBudget,
    server::{Gateway, RunningGateway},
    suspension_detector::SuspensionDetector,
    target_priority::TargetPriority,
    target_tracker::{InFlight, LoadReport, SentRequest, WorkTime},
    version_binding::VersionBinding,
};
pub use crate::throttle::Peers;
