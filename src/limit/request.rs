use std::time::Instant;

use crate::{id, list::Limits, path::Class};

/// What a request asks of the gate.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The customer.
    pub customer: &'a id::Customer,
    /// How urgent the request is.
    pub class: Class,
    /// The limits of the customer's plan, for the whole region.
    pub limits: Limits,
    /// Estimated tokens of the prompt and the answer together.
    pub tokens: u32,
    /// When the request is no longer of use.
    pub deadline: Instant,
}
