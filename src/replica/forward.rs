use prost::{Message, Oneof, bytes::Bytes};

use super::RequestError;
use crate::id;

/// Forwards a command to a replica on another VM, which proposes it.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardRequest {
    /// The name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: Bytes,
}

/// The reply to a [`ForwardRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ForwardReply {
    /// What became of the command.
    #[prost(oneof = "ForwardOutcome", tags = "1, 2, 3, 4")]
    pub outcome: Option<ForwardOutcome>,
}

/// What became of a forwarded command.
#[derive(Clone, PartialEq, Oneof)]
pub enum ForwardOutcome {
    /// The command was committed; holds the reply of the state machine.
    #[prost(bytes = "bytes", tag = "1")]
    Reply(Bytes),
    /// The replica is not the leader; holds the leader, or an empty string if it is not known.
    #[prost(string, tag = "2")]
    NotLeader(String),
    /// The command was rejected; holds the cause.
    #[prost(string, tag = "3")]
    Refused(String),
    /// The command may have been committed; holds the reason why that is not known.
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
            Err(error @ (RequestError::Refused(_) | RequestError::Stopped)) => {
                ForwardOutcome::Refused(error.to_string())
            }
        };
        Self { outcome: Some(outcome) }
    }
}
