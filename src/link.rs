//! Links between VMs: many exchanges over one connection from each VM to each other it talks to.
//!
//! The VM that dials opens exchanges; the VM that accepts answers them. An exchange belongs to
//! one connection and ends with it, so a frame of an earlier connection reaches nobody. Both ends
//! write heartbeats, often while exchanges are open and rarely otherwise; an end that hears nothing
//! for the silence limit drops the connection. One that carries nothing for long is closed.

mod backoff;
mod connection;
mod driver;
mod error;
mod exchange;
mod hub;
mod inbound;
mod liveness;
mod opened;
mod settings;
mod traffic;
mod window;

use self::connection::Connection;
pub use self::{
    backoff::Backoff,
    error::Error,
    exchange::Exchange,
    hub::Hub,
    inbound::Inbound,
    liveness::{Due, Liveness},
    opened::Opened,
    settings::Settings,
    traffic::{Sent, Traffic},
    window::{CHUNK_COST, Window},
};

/// The credit of each direction of an exchange when it opens, in bytes.
const WINDOW: u64 = 256 * 1024;
/// The largest chunk on a link, in bytes.
const CHUNK: usize = 64 * 1024;
