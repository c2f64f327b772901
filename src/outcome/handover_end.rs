use std::fmt;

use crate::{link, wire::Body};

/// How the work on a request that another VM handed over ended.
#[derive(Debug)]
pub(crate) enum HandoverEnd {
    /// The request did not run; the text says why.
    Refused(String),
    /// The request may have run, and there is no answer; the text says why.
    Unknown(String),
    /// The whole answer was sent.
    Answered {
        /// The target, or the way to it.
        source: String,
        /// Whether the other VM has read the end.
        end_read: bool,
    },
    /// The answer ended early.
    BrokenOff {
        /// The target, or the way to it.
        source: String,
        /// Why it ended early.
        cause: String,
    },
    /// The other VM cancelled the request, as its caller left or its time ran out.
    Cancelled,
    /// The link to the other VM ended.
    LinkEnded(String),
}

impl HandoverEnd {
    /// The end by a frame that the other VM sent instead of reading on.
    pub(crate) fn of_frame(frame: &Result<Body, link::Error>) -> Self {
        match frame {
            Ok(_) => Self::Cancelled,
            Err(cause) => Self::of_error(cause),
        }
    }

    pub(crate) fn of_error(cause: &link::Error) -> Self {
        match cause {
            link::Error::Cancelled => Self::Cancelled,
            cause => Self::LinkEnded(cause.to_string()),
        }
    }

    /// Whether the whole outcome was sent.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unknown(_) | Self::Answered { .. })
    }
}

impl fmt::Display for HandoverEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(detail) => write!(f, "refused: {detail}"),
            Self::Unknown(cause) => write!(f, "unknown: {cause}"),
            Self::Answered { source, end_read: true } => write!(f, "answered by {source}"),
            Self::Answered { source, end_read: false } => {
                write!(f, "answered by {source}, and its end was not read")
            }
            Self::BrokenOff { source, cause } => write!(f, "broken off at {source}: {cause}"),
            Self::Cancelled => write!(f, "cancelled by the other VM"),
            Self::LinkEnded(cause) => write!(f, "the link ended: {cause}"),
        }
    }
}
