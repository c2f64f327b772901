//! One VM of the daemon `pomelogated`: its sockets, its tasks and the path of a request through it.
//!
//! The decisions come from modules without I/O, such as [`placement`](crate::placement) and
//! [`limit`](crate::limit).

mod admin;
mod agreement;
mod at_most_once;
mod directory;
mod gossip;
mod handover;
mod http_routes;
mod inbound;
mod lists;
mod node;
mod operate;
mod order_delivery;
mod orders;
mod request_record;
mod routing_decision;
mod routing_state;
mod serve;
mod target_attempt;
mod target_deaths;

pub use self::{
    directory::{Directory, Entry},
    lists::Changed,
    node::{Error, RunningVm, Vm},
};
