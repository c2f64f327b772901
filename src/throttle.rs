//! What targets say that they take: a limit on the requests a second from all VMs together, or nothing
//! for a while.
//!
//! A VM learns of a limit from the target's answers, or from another VM of the region, and takes
//! its [`Share`] of it without coordination. A [`Tracker`] holds the limits that one VM knows and
//! decides whether the VM may send a request now. [`Returns`] tells refused callers when to come
//! back.
//!
//! A [`Pause`] is asked of one VM, which keeps it. The others, which are told, use other targets where
//! there are some. VMs whose pauses end together come back one after the other.

mod answer;
mod limit;
mod notice;
mod pause;
mod pauses;
mod peers;
mod returns;
mod share;
mod tracker;

pub use self::{
    answer::Answer,
    limit::{Limit, LimitError},
    notice::{Notice, PauseNotice},
    pause::{Pause, PauseError},
    peers::{PeerMemory, Peers},
    returns::Returns,
    share::{Share, Turn},
    tracker::{Change, Permission, Tracker},
};
