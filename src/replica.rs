//! Replicated groups: runs [`crate::consensus`] over links and a disk.

pub(crate) mod change_notifier;
mod envelope;
mod error;
mod forward;
mod group;
mod machine;
mod runner;
mod settings;

pub use self::{
    envelope::{Envelope, Outgoing},
    error::{Error, RequestError},
    forward::{ForwardOutcome, ForwardReply, ForwardRequest},
    group::{Group, Status},
    machine::StateMachine,
    settings::Settings,
};
