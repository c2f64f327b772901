//! Limits that targets name: the requests a second that a target takes from all VMs together.
//!
//! A VM learns of a limit from the target's answers, or from another VM of the region, and takes
//! its [`Share`] of it without coordination. A [`Tracker`] holds the limits that one VM knows and
//! decides whether the VM may send a request now. [`Returns`] tells refused callers when to come
//! back.

mod answer;
mod limit;
mod notice;
mod peers;
mod returns;
mod share;
mod tracker;

pub use self::{
    answer::Answer,
    limit::{Limit, LimitError},
    notice::Notice,
    peers::{PeerMemory, Peers},
    returns::Returns,
    share::{Share, Turn},
    tracker::{Change, Permission, Tracker},
};
