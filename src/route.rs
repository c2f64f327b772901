//! Routes: the service for each host and path prefix, and how its requests may be handled.
//!
//! A [`Table`] is one validated version of all routes. A VM uses one table at a time and never
//! replaces it with an older version while its process runs.

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
