//! Limits that targets name: the requests a second that a target takes from all VMs together.

mod limit;
mod tracker;

pub use self::{
    limit::{Limit, LimitError},
    tracker::{Change, Tracker},
};
