use prost::{Message, Oneof, bytes::Bytes};

use super::RequestError;
use crate::id;

/// A command that a VM without the group's leader sends to one of its replicas.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardRequest {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: Bytes,
}

/// What became of a forwarded command.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardReply {
    /// The result.
    #[prost(oneof = "ForwardOutcome", tags = "1, 2, 3, 4")]
    pub outcome: Option<ForwardOutcome>,
}

/// The result of a forwarded command.
#[derive(Clone, PartialEq, Oneof)]
pub enum ForwardOutcome {
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

impl From<Result<Bytes, RequestError>> for ForwardReply {
    fn from(result: Result<Bytes, RequestError>) -> Self {
        let outcome = match result {
            Ok(reply) => ForwardOutcome::Reply(reply),
            Err(RequestError::NotLeader(leader)) => ForwardOutcome::NotLeader(
                leader.as_ref().map(id::Vm::to_string).unwrap_or_default(),
            ),
            Err(RequestError::OutcomeUnknown) => {
                ForwardOutcome::Unknown(RequestError::OutcomeUnknown.to_string())
            }
            Err(failure @ (RequestError::Refused(_) | RequestError::Stopped)) => {
                ForwardOutcome::Refused(failure.to_string())
            }
        };
        Self { outcome: Some(outcome) }
    }
}
