use std::time::Duration;

use hyper::{HeaderMap, StatusCode, body::Bytes};

use super::streaming_body::Flow;

/// What became of a request, as its caller is to learn it.
#[derive(Debug)]
pub(super) enum Outcome {
    /// A target's answer.
    Answered(Answer),
    /// It did not run and will not.
    Refused(Refusal),
    /// It may have run.
    Unknown(String),
}

/// A target's answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The status.
    pub(super) status: StatusCode,
    /// The headers that callers get.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: AnswerBody,
    /// The target that it came from.
    pub(super) target: String,
}

/// The body of an answer.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// It is known whole.
    Whole(Bytes),
    /// It comes in pieces.
    Flow(Box<Flow>),
}

/// A request that did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why, in a word.
    pub(super) reason: Reason,
    /// What was found.
    pub(super) detail: String,
    /// When to come back.
    pub(super) retry_after: Duration,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// No routes are known yet.
    NoRoutes,
    /// No rule fits the host and path.
    NoRoute,
    /// The request has no identifier.
    NoIdentifier,
    /// The body is larger than callers may send.
    TooLarge,
    /// The body did not come whole, or in time.
    Incomplete,
    /// No target that may get it is in reach.
    NoTarget,
    /// Every target that may get it is full.
    Full,
    /// Its answer would be late.
    Busy,
    /// Its time ran out before it was sent.
    Late,
    /// Targets crashed while they ran this same request.
    Crashing,
}

impl Reason {
    /// The word for logs and figures.
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::NoRoutes => "no_routes",
            Self::NoRoute => "no_route",
            Self::NoIdentifier => "no_identifier",
            Self::TooLarge => "too_large",
            Self::Incomplete => "incomplete",
            Self::NoTarget => "no_target",
            Self::Full => "full",
            Self::Busy => "busy",
            Self::Late => "late",
            Self::Crashing => "crashing",
        }
    }

    /// The status that callers get.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoIdentifier => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoutes
            | Self::NoTarget
            | Self::Full
            | Self::Busy
            | Self::Late
            | Self::Crashing => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Refusal {
    pub(super) fn new(reason: Reason, detail: impl Into<String>, retry_after: Duration) -> Self {
        Self { reason, detail: detail.into(), retry_after }
    }
}
