//! Settings of a VM, read from JSON.
//!
//! Every error is found at once, with its place in the file and its remedy.

mod check;
mod error;
mod figures;
mod link;
mod log;
mod orders;
mod peer;
mod place;
mod placement;
mod problem;
mod sections;
mod vm;

pub use self::{
    error::Error,
    figures::Figures,
    link::Link,
    log::{Format, Level, Log},
    orders::{Orders, Stock},
    peer::Peer,
    placement::{Placement, Preset},
    problem::{Problem, Severity},
    vm::{Loaded, Settings},
};
