//! HTTP towards callers, targets and operators: `hyper` over `smol`.

mod body;
mod client;
mod server;
mod tap;
mod timed;

pub(crate) use self::client::dial;
pub use self::{
    body::{Body, Broken, Incomplete, channel, collect, empty, full},
    client::{Failure, open},
    server::{Limits, Stop, Stopped, serve},
    timed::timed,
};
