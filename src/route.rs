//! Routes: which service serves a host and a path, and what may be done with its requests.
//!
//! A [`Table`] is one version of the list of routes, checked whole. VMs hold one at a time and
//! never an older one again in a lifetime of their process.

mod class;
mod fault;
mod limits;
mod rule;
mod service;
mod split;
mod table;

pub use self::{
    class::Class, fault::Fault, limits::Limits, rule::Rule, service::Service, split::Split,
    table::Table,
};
