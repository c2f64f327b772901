use std::{fmt, time::Duration};

/// What became of an order or an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It stands, on a quorum of disks where it has to outlive their loss.
    Confirmed,
}

/// Why there is no confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It is not valid and never will be; says why.
    Invalid(String),
    /// No quorum confirmed it; it may stand or not. Says why, and when to ask again.
    Unconfirmed(String, Duration),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(cause) => f.write_str(cause),
            Self::Unconfirmed(cause, _) => write!(f, "not confirmed: {cause}; send the same again"),
        }
    }
}

impl std::error::Error for CommandError {}
