//! The shell of one VM: sockets and tasks around the decisions.

mod agreement;
mod calls;
mod directory;
mod gossip;
mod handover;
mod inbound;
mod lists;
mod node;
mod routes;
mod serve;

pub use self::{
    directory::{Directory, Entry},
    lists::Changed,
    node::{Error, Running, Vm},
};
