//! The steps that a request passes in order: authenticate → resolve names → check allowance →
//! admit → place → dispatch → relay.
//!
//! [`Request`] has its stage as a type parameter, so that only a request that was allowed and
//! admitted can be dispatched.

mod admit;
mod allow;
mod attempts;
mod authenticate;
mod class;
mod dispatch;
mod framing;
mod header;
mod relay;
mod request;
mod resolve;
mod resumable_body;
mod target_response;
mod target_watch;

pub use self::{
    admit::Admitted,
    allow::Allowed,
    attempts::Attempts,
    authenticate::Authenticated,
    class::Class,
    dispatch::{DispatchLimits, dispatch},
    header::{
        ADAPTER, CLASS, FORWARDED_HEADERS, IDEMPOTENCY_KEY, LIMIT, OUTCOME, REQUEST, RESUME,
        SCHEME, TIMEOUT_MS, VERSION, WAY, forwarded_headers,
    },
    relay::{refusal_response, relay, unknown_outcome_response},
    request::{Received, Request},
    resolve::Resolved,
    target_response::{BodyPart, TargetResponse},
    target_watch::TargetWatch,
};
