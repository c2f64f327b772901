//! The request path, a chain of filters:
//! authenticate → resolve names → check allowance → admit → place → dispatch → relay.
//!
//! [`Request`] carries its stage as a type, so that nothing can be dispatched that was not
//! allowed and admitted.

mod admit;
mod allow;
mod answer;
mod attempts;
mod authenticate;
mod class;
mod dispatch;
mod framing;
mod header;
mod relay;
mod request;
mod resolve;
mod source;

pub use self::{
    admit::Admitted,
    allow::Allowed,
    answer::{Answer, Part},
    attempts::Attempts,
    authenticate::Authenticated,
    class::Class,
    dispatch::{Dispatch, dispatch},
    header::{
        ADAPTER, CLASS, FORWARDED, IDEMPOTENCY_KEY, OUTCOME, REQUEST, RESUME, SCHEME, TIMEOUT_MS,
        VERSION, WAY, forwarded,
    },
    relay::{refusal, relay, unknown},
    request::{Received, Request},
    resolve::Resolved,
};
