//! Agreement between replicas: Raft as a state machine without I/O.
//!
//! [`Core`] takes time, messages and proposals, and gives an [`Output`]: what to make durable,
//! what to send before and after that, and what to apply. A member is a VM together with the
//! random identity of its disk ([`Peer`]), so that a replica that lost its disk is another
//! member, whose votes and acknowledgements count for nothing until a committed change admits it.

mod core;
mod election;
mod entry;
mod follower;
mod formation;
mod leader;
mod membership;
mod message;
mod output;
mod peer;
mod settings;
mod tail;

pub(crate) use self::formation::FIRST;
pub use self::{
    core::{Core, Role, Silence, Start, Status},
    entry::{Entry, Hard, Kind, Record, Snapshot},
    leader::Fence,
    membership::{Change, Denied, Member, Membership},
    message::{
        Announce, Append, Appended, Body, Install, Message, ReadAsk, ReadReply, VoteAsk, VoteReply,
    },
    output::{Outgoing, Output},
    peer::Peer,
    settings::Settings,
};
