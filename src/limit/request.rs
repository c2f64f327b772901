use std::time::Instant;

use crate::{id, list::Limits, path::Class};

/// A request as the limiter sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The customer that pays for the request.
    pub customer: &'a id::Customer,
    /// Whether the request is interactive or batch work.
    pub class: Class,
    /// The limits of the customer's plan, for the whole region.
    pub limits: Limits,
    /// The estimated tokens of the prompt and the answer together.
    pub tokens: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}
