//! The shell of one VM: sockets and tasks around the decisions.

mod admin;
mod calls;
mod choose;
mod crashes;
mod directory;
mod gossip;
mod handover;
mod inbound;
mod lists;
mod node;
mod observe;
mod operator_requests;
mod order_delivery;
mod orders;
mod replica_groups;
mod routes;
mod routing;
mod serve;
mod trip;

pub use self::{
    directory::{Directory, DirectoryEntry},
    lists::ChangeOutcome,
    node::{Error, RunningVm, Vm},
};
