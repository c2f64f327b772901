//! Links between VMs: many exchanges multiplexed over one connection per pair of VMs and direction.
//!
//! The VM that dials opens exchanges; the VM that accepts answers them. An exchange belongs to one
//! connection and ends with it, so no exchange receives frames of an earlier connection. Both ends
//! send heartbeats, often while exchanges are open and rarely otherwise. An end that receives
//! nothing for the silence timeout drops the connection. The dialer closes a connection that
//! carries only heartbeats for the idle timeout.

mod backoff;
mod connection;
mod credit_window;
mod driver;
mod error;
mod exchange;
mod hub;
mod inbound;
mod liveness;
mod opened_exchanges;
mod settings;
mod traffic;

use self::connection::Connection;
pub use self::{
    backoff::Backoff,
    credit_window::{CHUNK_OVERHEAD_BYTES, CreditWindow},
    error::Error,
    exchange::Exchange,
    hub::Hub,
    inbound::Inbound,
    liveness::{Liveness, LivenessAction},
    opened_exchanges::OpenedExchanges,
    settings::Settings,
    traffic::{SentCounter, Traffic},
};

/// The initial credit of each direction of an exchange.
const WINDOW_BYTES: u64 = 256 * 1024;
const MAX_CHUNK_BYTES: usize = 64 * 1024;
