use std::{error, fmt};

use crate::{consensus::ProposeError, disk, id};

/// Why a replica cannot start or has stopped.
#[derive(Debug)]
pub enum Error {
    /// The folder cannot be used.
    Disk(disk::Error),
    /// The state machine cannot restore the snapshot from the folder or the leader.
    Snapshot(String),
    /// The operating system gave no random number.
    Random(rand::rngs::SysError),
}

/// Why a proposal, a membership change or a read barrier did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// This replica is not the leader, and the request has no effect. Holds the leader, if it is
    /// known.
    NotLeader(Option<id::Vm>),
    /// The request may have taken effect or may still do so. Send it again with the same request
    /// ID to learn the outcome.
    OutcomeUnknown,
    /// The request was rejected and has no effect.
    Refused(ProposeError),
    /// The replica has stopped, and the request has no effect. The log has the cause.
    Stopped,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(source) => source.fmt(f),
            Self::Snapshot(text) => write!(f, "the snapshot cannot be restored: {text}"),
            Self::Random(source) => write!(
                f,
                "the operating system gave no random number: {source}; start the VM again"
            ),
        }
    }
}

impl error::Error for Error {}

impl From<disk::Error> for Error {
    fn from(source: disk::Error) -> Self {
        Self::Disk(source)
    }
}

impl From<ProposeError> for RequestError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotLeader(leader) => Self::NotLeader(leader),
            error => Self::Refused(error),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(leader) => ProposeError::NotLeader(leader.clone()).fmt(f),
            Self::OutcomeUnknown => {
                f.write_str("the outcome is unknown; send the same again to learn what stands")
            }
            Self::Refused(error) => error.fmt(f),
            Self::Stopped => f.write_str("the replica has stopped; see the VM's log for the cause"),
        }
    }
}

impl error::Error for RequestError {}
