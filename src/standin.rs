//! Stand-ins of a model engine and of a plain service, for tests, tours and load programs.

mod caller;
mod deployment;
mod engine;
mod reporter;
mod service;

pub use self::{
    caller::{Caller, Reply},
    deployment::{deployment, free_address},
    engine::{Engine, Pace},
    reporter::Reporter,
    service::{Call, Service},
};
