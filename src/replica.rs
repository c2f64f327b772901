//! Replicated groups: the shell that carries [`crate::consensus`] over links and disk.

pub(crate) mod changed;
mod envelope;
mod error;
mod forward;
mod group;
mod machine;
mod runner;
mod settings;

pub use self::{
    envelope::{Envelope, Outgoing},
    error::{Error, Failure},
    forward::{Fate, Forward, Forwarded},
    group::{Group, Status},
    machine::Machine,
    settings::Settings,
};
