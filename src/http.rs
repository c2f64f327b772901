//! HTTP/1 client and server for callers, targets and operators, with `hyper` on `smol`.

mod body;
mod client;
mod deadline_body;
mod server;
mod write_tracker;

pub(crate) use self::client::connect;
pub use self::{
    body::{Body, CollectError, IncompleteBody, channel, collect, empty, full},
    client::{RequestError, send_request},
    deadline_body::full_before_deadline,
    server::{Limits, Stop, Stopped, serve},
};
