//! The commands of the tool `pomelogate`.

mod client;
mod command;
mod diff;
mod error;
mod explain;
mod fleet;
mod help;
mod lists;
mod options;
mod print;

pub use self::{
    client::Client,
    command::{Command, List, Output, run},
    diff::diff,
    error::Error,
    help::{HELP, nearest},
    options::Options,
};
