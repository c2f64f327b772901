//! The shell of one VM: sockets and tasks around the decisions.

mod admin;
mod agreement;
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
mod operate;
mod order_delivery;
mod orders;
mod routes;
mod routing;
mod serve;
mod trip;

pub use self::{
    directory::{Directory, Entry},
    lists::Changed,
    node::{Error, RunningVm, Vm},
};
