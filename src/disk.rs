//! Files that survive: synced, checksummed, under one data folder.

mod error;
mod frame;
mod log;

pub use self::{error::Error, log::Log};
