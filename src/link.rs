//! Links between VMs: many exchanges over one connection from each VM to each other it talks to.
//!
//! The VM that dials opens exchanges; the VM that accepts answers them. An exchange belongs to
//! one connection and ends with it, so a frame of an earlier connection reaches nobody.

mod connection;
mod error;
mod exchange;
mod hub;
mod inbound;
mod settings;

use self::connection::Connection;
pub use self::{error::Error, exchange::Exchange, hub::Hub, inbound::Inbound, settings::Settings};
