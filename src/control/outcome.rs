use std::{fmt, time::Duration};

/// Result of a command or an announcement that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The registry holds the requested state. A quorum of replicas has written any change of the
    /// replicated state to disk.
    Confirmed,
}

/// Reason why a command or an announcement was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The command is invalid, so a retry cannot succeed. Holds the cause.
    Invalid(String),
    /// No quorum confirmed the command, which may or may not take effect. Holds the cause and the
    /// delay after which to retry.
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
