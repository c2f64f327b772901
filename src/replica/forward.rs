use prost::{Message, Oneof, bytes::Bytes};

use super::Failure;
use crate::id;

/// A command that a VM without the group's leader sends to one of its replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: Bytes,
}

/// What became of a forwarded command.
#[derive(Clone, PartialEq, Message)]
pub struct Forwarded {
    /// The result.
    #[prost(oneof = "Fate", tags = "1, 2, 3, 4")]
    pub fate: Option<Fate>,
}

/// The result of a forwarded command.
#[derive(Clone, PartialEq, Oneof)]
pub enum Fate {
    /// It was committed; the machine's reply.
    #[prost(bytes = "bytes", tag = "1")]
    Reply(Bytes),
    /// The replica does not lead; the leader, or an empty text where it is not known.
    #[prost(string, tag = "2")]
    NotLeader(String),
    /// It was refused; says why.
    #[prost(string, tag = "3")]
    Refused(String),
    /// It may have been committed; says why that is not known.
    #[prost(string, tag = "4")]
    Unknown(String),
}

impl From<Result<Bytes, Failure>> for Forwarded {
    fn from(result: Result<Bytes, Failure>) -> Self {
        let fate = match result {
            Ok(reply) => Fate::Reply(reply),
            Err(Failure::NotLeader(leader)) => {
                Fate::NotLeader(leader.as_ref().map(id::Vm::to_string).unwrap_or_default())
            }
            Err(Failure::Unknown) => Fate::Unknown(Failure::Unknown.to_string()),
            Err(failure @ (Failure::Refused(_) | Failure::Stopped)) => {
                Fate::Refused(failure.to_string())
            }
        };
        Self { fate: Some(fate) }
    }
}
