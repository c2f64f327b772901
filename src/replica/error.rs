use std::{error, fmt};

use crate::{consensus::ProposeError, disk, id};

/// Why a group cannot start, or has stopped.
#[derive(Debug)]
pub enum Error {
    /// The folder cannot be used.
    Disk(disk::Error),
    /// The machine cannot restore the snapshot that the folder or the leader gave.
    Snapshot(String),
    /// The system gave no random number.
    Random(rand::rngs::SysError),
}

/// Why a proposal, a change or a read barrier was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// This replica does not lead: it did not happen. The leader, where it is known.
    NotLeader(Option<id::Vm>),
    /// It may have happened or may still happen: ask again with the same identity.
    OutcomeUnknown,
    /// It was refused: it did not happen.
    Refused(ProposeError),
    /// The replica has stopped: nothing was begun. Why is in the log.
    Stopped,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(source) => source.fmt(f),
            Self::Snapshot(text) => write!(f, "the snapshot cannot be restored: {text}"),
            Self::Random(source) => write!(f, "no random number: {source}; start the VM again"),
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
    fn from(denied: ProposeError) -> Self {
        match denied {
            ProposeError::NotLeader(leader) => Self::NotLeader(leader),
            denied => Self::Refused(denied),
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
            Self::Refused(denied) => denied.fmt(f),
            Self::Stopped => f.write_str("the replica has stopped; see the VM's log for the cause"),
        }
    }
}

impl error::Error for RequestError {}
