//! The replicated state of the group `lists`: both lists, planned stops, fencing numbers and
//! incarnations; and how the VMs without a replica follow it.
//!
//! [`Machine`] decides on the replicas, [`Follower`] on every VM, [`Progress`] says where a
//! version is in force. `docs/design/lists.md` has the reasons.

mod answer;
mod ask;
mod cache;
mod command;
mod follower;
mod machine;
mod message;
mod progress;
mod receipts;
mod reply;
mod series;
mod source;
mod store;
mod subject;
mod versions;

pub use self::{
    answer::Answer,
    ask::{Ask, Question, Reported, Reports},
    cache::{load, save},
    command::{Announce, Change, Command, Fence, Incarnation, Operation, Withdraw},
    follower::{Action, Follower, Settings},
    machine::Machine,
    message::{Entry, Fetch, Part, Served, Update},
    progress::Progress,
    receipts::RECEIPTS,
    reply::{Accepted, Conflict, Forgotten, Gap, Invalid, Issued, Reply, Verdict},
    series::{DIGESTS, HOPS, Series},
    source::Peer,
    store::{Refused, Store},
    subject::Subject,
    versions::Versions,
};
