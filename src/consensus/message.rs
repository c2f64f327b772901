use prost::{Message as Prost, Oneof};

use super::{Entry, Snapshot};

/// A message between replicas of a group.
#[derive(Clone, PartialEq, Prost)]
pub struct Message {
    /// The group's formation; zero from a replica that belongs to no group.
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    /// The sender's disk.
    #[prost(uint64, tag = "2")]
    pub from_disk_id: u64,
    /// The disk that the message is meant for; of no meaning in an announcement.
    #[prost(uint64, tag = "3")]
    pub to_disk_id: u64,
    /// The sender's term; in a pre-vote and its grant the term that is asked for.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// What it says.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A replica that belongs to no group makes itself known, or is told the same.
    #[prost(message, tag = "5")]
    Announce(Announce),
    /// Asks for a vote.
    #[prost(message, tag = "6")]
    RequestVote(RequestVote),
    /// Grants or denies a vote.
    #[prost(message, tag = "7")]
    RequestVoteReply(RequestVoteReply),
    /// Entries, or a heartbeat.
    #[prost(message, tag = "8")]
    AppendEntries(AppendEntries),
    /// The reply to entries or a snapshot.
    #[prost(message, tag = "9")]
    AppendEntriesReply(AppendEntriesReply),
    /// A whole snapshot.
    #[prost(message, tag = "10")]
    InstallSnapshot(InstallSnapshot),
    /// Asks the leader for a read point.
    #[prost(message, tag = "11")]
    ReadIndexRequest(ReadIndexRequest),
    /// A read point that a quorum confirmed.
    #[prost(message, tag = "12")]
    ReadIndexReply(ReadIndexReply),
}

/// Makes an empty replica known.
#[derive(Clone, PartialEq, Prost)]
pub struct Announce {
    /// Zero when asking, else the disk of the replica that is answered.
    #[prost(uint64, tag = "1")]
    pub reply_to_disk_id: u64,
    /// In an answer, the VMs of the members that the answering replica knows: the asker makes
    /// itself known to them too, as the VMs in its settings need not be members any more.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}

/// Asks for a vote.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct RequestVote {
    /// Whether it only asks if the vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The last index of the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_log_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
}

/// Grants or denies a vote.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct RequestVoteReply {
    /// Whether it replies to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Entries of the leader's log, none for a heartbeat.
#[derive(Clone, PartialEq, Prost)]
pub struct AppendEntries {
    /// The index before the first entry.
    #[prost(uint64, tag = "1")]
    pub prev_log_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_log_term: u64,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// The leader's latest round of heartbeats.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// The reply to entries or a snapshot.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct AppendEntriesReply {
    /// Whether the sender's log agrees with the leader's up to `index`, durably.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// The last index that agrees, or after a refusal the last that may.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// The round that is acknowledged.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A whole snapshot.
#[derive(Clone, PartialEq, Prost)]
pub struct InstallSnapshot {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub snapshot: Snapshot,
    /// The leader's latest round of heartbeats.
    #[prost(uint64, tag = "2")]
    pub round: u64,
}

/// Asks the leader for a read point.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct ReadIndexRequest {
    /// The asker's token.
    #[prost(uint64, tag = "1")]
    pub token: u64,
}

/// A read point that a quorum confirmed.
#[derive(Clone, Copy, PartialEq, Prost)]
pub struct ReadIndexReply {
    /// The asker's token.
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// The index that the asker must have applied.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}
