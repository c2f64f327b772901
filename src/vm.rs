//! One VM of the daemon `pomelogated`: its sockets, its tasks and the path of a request through it.
//!
//! The decisions come from modules without I/O, such as [`placement`](crate::placement) and
//! [`limit`](crate::limit).

mod admin;
mod at_most_once;
mod directory;
mod gossip;
mod grace;
mod handover;
mod http_routes;
mod inbound;
mod lists;
mod node;
mod operator_requests;
mod order_delivery;
mod orders;
mod replica_groups;
mod request_record;
mod routing_decision;
mod routing_state;
mod serve;
mod target_attempt;
mod target_deaths;
mod target_limit;

pub use self::{
    directory::{Directory, DirectoryEntry},
    lists::ChangeOutcome,
    node::{Error, RunningVm, Vm},
};
