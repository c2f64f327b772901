//! Raft consensus between replicas, without I/O.
//!
//! [`Raft`] takes the time, messages and proposals, and returns an [`Output`]: the record to make
//! durable, the messages to send before and after that, and the entries to apply. A member is a
//! VM together with the random ID of its disk ([`Peer`]). A replica that lost its disk is
//! therefore a different member: its votes and acknowledgements don't count until a committed
//! membership change admits it.

mod bootstrap;
mod departure;
mod election;
mod entry;
mod follower;
mod leader;
mod membership;
mod memory_log;
mod message;
mod output;
mod peer;
mod raft;
mod settings;

pub(crate) use self::bootstrap::FIRST_INDEX_AND_TERM;
pub use self::{
    entry::{Entry, EntryKind, HardState, Record, Snapshot},
    leader::LeaderLease,
    membership::{Member, Membership, MembershipChange, ProposeError},
    message::{
        Announce, AppendEntries, AppendEntriesReply, Body, InstallSnapshot, Leave, Message,
        ReadIndexReply, ReadIndexRequest, RequestVote, RequestVoteReply,
    },
    output::{Outgoing, Output},
    peer::Peer,
    raft::{LastContact, Raft, Role, StartParameters, Status},
    settings::Settings,
};
