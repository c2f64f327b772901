//! Agreement between replicas: Raft as a state machine without I/O.
//!
//! [`Raft`] takes time, messages and proposals, and gives an [`Output`]: what to make durable,
//! what to send before and after that, and what to apply. A member is a VM together with the
//! random identity of its disk ([`Peer`]), so that a replica that lost its disk is another
//! member, whose votes and acknowledgements count for nothing until a committed change admits it.

mod election;
mod entry;
mod follower;
mod formation;
mod leader;
mod membership;
mod message;
mod output;
mod peer;
mod raft;
mod settings;
mod tail;

pub(crate) use self::formation::FIRST_INDEX;
pub use self::{
    entry::{Entry, EntryKind, HardState, Record, Snapshot},
    leader::LeaderLease,
    membership::{Member, Membership, MembershipChange, ProposeError},
    message::{
        Announce, AppendEntries, AppendEntriesReply, Body, InstallSnapshot, Message,
        ReadIndexReply, ReadIndexRequest, RequestVote, RequestVoteReply,
    },
    output::{Outgoing, Output},
    peer::Peer,
    raft::{LastContact, Raft, Role, StartParameters, Status},
    settings::Settings,
};
