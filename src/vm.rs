//! The shell of one VM: sockets and tasks around the decisions.

mod directory;
mod gossip;
mod handover;
mod inbound;
mod node;
mod routes;
mod serve;

pub use self::{
    directory::{Directory, Entry},
    node::{Error, Running, Vm},
};
