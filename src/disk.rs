//! Durable storage of a replica: synced, checksummed files in a folder.

mod error;
mod frame;
mod log;

pub use self::{error::Error, log::Log};
