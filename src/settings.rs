//! Settings of a VM, read from JSON.

mod error;
mod peer;
mod vm;

pub use self::{error::Error, peer::Peer, vm::Settings};
