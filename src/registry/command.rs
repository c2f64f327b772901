use prost::{Message, Oneof, bytes::Bytes};

use super::TargetRecord;

/// An entry of the replicated log that changes the registry.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The change.
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5, 6")]
    pub operation: Option<Operation>,
}

/// A change of the registry.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// Marks the first group of replicas as complete. Before that the group accepts no other
    /// command, as a change might not survive the loss of a disk.
    #[prost(message, tag = "1")]
    Establish(Establish),
    /// Replaces the list of routes.
    #[prost(message, tag = "2")]
    Publish(Publish),
    /// Drains a zone or ends its drain.
    #[prost(message, tag = "3")]
    Drain(Drain),
    /// Adds a target or updates its record.
    #[prost(message, tag = "4")]
    Announce(TargetRecord),
    /// Marks a target as gone.
    #[prost(message, tag = "5")]
    Withdraw(Withdraw),
    /// Adds a target in the place of the records that keep it out.
    #[prost(message, tag = "6")]
    TakeOver(TakeOver),
}

/// The size of the first complete group of replicas.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Establish {
    /// Number of voters.
    #[prost(uint32, tag = "1")]
    pub voters: u32,
}

/// A list of routes that has been validated.
#[derive(Clone, PartialEq, Message)]
pub struct Publish {
    /// Version of the list; only a version above the stored one has an effect.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The list as the operator sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

/// Whether a zone is drained.
#[derive(Clone, PartialEq, Message)]
pub struct Drain {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the zone's targets receive no requests.
    #[prost(bool, tag = "2")]
    pub drained: bool,
    /// Log index of the zone's last change that the proposer knew. The command has no effect if the
    /// zone has changed since, so that a delayed command does not undo a later one.
    #[prost(uint64, tag = "3")]
    pub last_change_index: u64,
}

/// Marks a target as gone.
#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation that the proposer knew; 0 if it knew none.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Unix milliseconds up to which any incarnation that started is gone, whether it has been
    /// announced or not; 0 if only the known one is. Set if the known incarnation cannot be the
    /// sender of the withdrawal.
    #[prost(uint64, tag = "3")]
    pub started_by_ms: u64,
}

/// Adds a target that is alive although newer records keep it out.
#[derive(Clone, PartialEq, Message)]
pub struct TakeOver {
    /// The target.
    #[prost(message, required, tag = "1")]
    pub record: TargetRecord,
    /// The records that the proposer knew to be silent. The command has no effect if others keep
    /// the target out, so that a delayed command does not undo a later change.
    #[prost(message, repeated, tag = "2")]
    pub displaced: Vec<RecordVersion>,
}

/// One version of the record of a target.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RecordVersion {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Log index at which the record last changed.
    #[prost(uint64, tag = "2")]
    pub changed_index: u64,
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Reply {
    /// The command changed the registry.
    Changed = 0,
    /// The registry already held the same value or a newer one.
    Stands = 1,
    /// The zone changed after the proposer read it. The proposer has to read it again and retry.
    Overtaken = 2,
    /// The command could not be decoded; a VM that runs another version sent it.
    Unreadable = 3,
}

impl Reply {
    /// Encodes the reply as one byte.
    pub fn encode(self) -> Bytes {
        Bytes::copy_from_slice(&[i32::from(self).to_le_bytes()[0]])
    }

    /// Decodes a reply; `None` if `bytes` do not hold one.
    ///
    /// ```
    /// use pomelogate::registry::Reply;
    ///
    /// assert_eq!(Reply::decode(&Reply::Stands.encode()), Some(Reply::Stands));
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let [number] = bytes else { return None };
        Self::try_from(i32::from(*number)).ok()
    }
}

impl From<Operation> for Command {
    fn from(operation: Operation) -> Self {
        Self { operation: Some(operation) }
    }
}
