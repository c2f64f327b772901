//! Stand-ins of a model engine and of a plain service, for tests, tours and load programs.

mod caller;
mod deployment;
mod engine;
mod fault;
mod intake;
mod listener;
mod loader;
mod reporter;
mod service;
mod store;
mod stream;

pub use self::{
    caller::{Caller, Reply},
    deployment::{deployment, free_address, with_disks},
    engine::{Engine, Pace},
    fault::Fault,
    loader::{Loader, Manner, Received},
    reporter::Reporter,
    service::{Call, Service},
    store::Store,
};
