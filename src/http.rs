//! HTTP towards callers, targets and operators: `hyper` over `smol`.

mod body;
mod client;
mod server;
mod tap;
mod timed;

pub(crate) use self::client::connect;
pub use self::{
    body::{Body, CollectError, IncompleteBody, channel, collect, empty, full},
    client::{RequestError, send_request},
    server::{Limits, Stop, Stopped, serve},
    timed::timed,
};
