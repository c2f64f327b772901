//! The shell of one VM: sockets and tasks around the decisions.

mod admin;
mod directory;
mod handover;
mod inbound;
mod node;
mod observe;
mod routes;
mod serve;

pub use self::{
    directory::{Directory, Entry},
    node::{Error, Running, Vm},
};
