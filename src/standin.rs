//! Stand-ins of a model engine and of a plain service, for tests, tours and load programs.

mod caller;
mod deployment;
mod engine;
mod fault;
mod reporter;
mod service;
mod stream;

pub use self::{
    caller::{Caller, Reply},
    deployment::{deployment, free_address, with_disks},
    engine::{Engine, Pace},
    fault::Fault,
    reporter::Reporter,
    service::{Call, Service},
};
