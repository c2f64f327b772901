//! Routes: which service serves a host and a path, and what may be done with its requests.
//!
//! A [`Table`] is one version of the list of routes, checked whole. VMs hold one at a time and
//! never an older one again in a lifetime of their process.

mod definition;
mod delivery_mode;
mod limits;
mod service;
mod split;
mod table;
mod table_error;

pub use self::{
    definition::Route, delivery_mode::DeliveryMode, limits::Limits, service::Service, split::Split,
    table::Table, table_error::TableError,
};
