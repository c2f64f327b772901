use prost::{Message as Prost, Oneof};

use super::{Entry, Snapshot};

/// A message between replicas of a group.
#[derive(Clone, PartialEq, Prost)]
pub struct Message {
    /// The ID of the sender's group; zero if it belongs to none.
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    /// The ID of the sender's disk.
    #[prost(uint64, tag = "2")]
    pub from_disk_id: u64,
    /// The ID of the recipient's disk; ignored in an announcement.
    #[prost(uint64, tag = "3")]
    pub to_disk_id: u64,
    /// The sender's term. In a pre-vote request and a granted pre-vote, the term of the election
    /// that would follow.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The content.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Announces an empty replica, or replies to an announcement.
    #[prost(message, tag = "5")]
    Announce(Announce),
    /// Requests a vote.
    #[prost(message, tag = "6")]
    RequestVote(RequestVote),
    /// Grants or denies a vote.
    #[prost(message, tag = "7")]
    RequestVoteReply(RequestVoteReply),
    /// Replicates entries; without entries, a heartbeat.
    #[prost(message, tag = "8")]
    AppendEntries(AppendEntries),
    /// The reply to [`AppendEntries`] or [`InstallSnapshot`].
    #[prost(message, tag = "9")]
    AppendEntriesReply(AppendEntriesReply),
    /// Replaces the follower's state by a snapshot.
    #[prost(message, tag = "10")]
    InstallSnapshot(InstallSnapshot),
    /// Asks the leader for a read index.
    #[prost(message, tag = "11")]
    ReadIndexRequest(ReadIndexRequest),
    /// A read index that a quorum confirmed.
    #[prost(message, tag = "12")]
    ReadIndexReply(ReadIndexReply),
    /// Asks the leader to remove the sender, or confirms the removal.
    #[prost(message, tag = "13")]
    Leave(Leave),
}

/// Announces an empty replica, so that it can be admitted, or replies to an announcement.
#[derive(Clone, PartialEq, Prost)]
pub struct Announce {
    /// Zero in an announcement; in a reply, the disk ID of the replica that announced itself.
    #[prost(uint64, tag = "1")]
    pub reply_to_disk_id: u64,
    /// In a reply, the VMs of the members that the replying replica knows. The announcing replica
    /// announces itself to them too, as the VMs in its settings may no longer be members.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}

/// Requests a vote.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct RequestVote {
    /// Whether this is a pre-vote: it asks whether the vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The index of the last entry in the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_log_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
}

/// Grants or denies a vote.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct RequestVoteReply {
    /// Whether this replies to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Replicates entries of the leader's log; without entries, a heartbeat.
#[derive(Clone, PartialEq, Prost)]
pub struct AppendEntries {
    /// The index of the entry before the first one in `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_log_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_log_term: u64,
    /// The entries, in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// The number of the leader's latest round of heartbeats.
    #[prost(uint64, tag = "5")]
    pub heartbeat_round: u64,
}

/// The reply to [`AppendEntries`] or [`InstallSnapshot`].
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct AppendEntriesReply {
    /// Whether the sender's log durably matches the leader's up to `match_index`.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// The last index that matches; after a rejection, the last one that may match.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// The heartbeat round that is acknowledged.
    #[prost(uint64, tag = "3")]
    pub heartbeat_round: u64,
}

/// Replaces the follower's state by a snapshot.
#[derive(Clone, PartialEq, Prost)]
pub struct InstallSnapshot {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub snapshot: Snapshot,
    /// The number of the leader's latest round of heartbeats.
    #[prost(uint64, tag = "2")]
    pub heartbeat_round: u64,
}

/// Asks the leader for a read index.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct ReadIndexRequest {
    /// The token of the requester.
    #[prost(uint64, tag = "1")]
    pub token: u64,
}

/// A read index that a quorum confirmed.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct ReadIndexReply {
    /// The token of the requester.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// The index that the requester must have applied before it reads.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// Asks the leader to remove the sender from the group, or confirms to the recipient that it has
/// been removed. Replicas that do not know the message ignore it.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct Leave {
    /// Whether the recipient has been removed.
    #[prost(bool, tag = "1")]
    pub removed: bool,
}
