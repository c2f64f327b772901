use std::{sync::Arc, time::Duration};

use super::{Allowed, Request, Resolved};
use crate::{
    limit::{Admission, Permit},
    outcome::Refusal,
    target::Need,
};

/// The approximate number of bytes per token of text.
const BYTES_PER_TOKEN: usize = 4;
/// The output tokens that a request is assumed to need if it sets no `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fifth stage: the request is admitted under its customer's limits.
#[derive(Debug)]
pub struct Admitted {
    /// The request's resolved names, headers and body.
    pub resolved: Resolved,
    /// The request's share of its customer's limits, held until the response ends.
    pub permit: Permit,
    /// How long the request waited for admission. [`admit`](Request::admit) leaves it at 0 for its
    /// caller to set.
    pub queue_time: Duration,
}

impl Request<Allowed> {
    /// Admits the request under its customer's limits, or queues it until they permit it.
    ///
    /// # Errors
    ///
    /// If the queue is full, the limits permit no requests, or the deadline passes in the queue.
    pub async fn admit(self, admission: &Arc<Admission>) -> Result<Request<Admitted>, Refusal> {
        let resolved = &self.stage.resolved;
        let query = crate::limit::Request {
            customer: &resolved.plan.customer,
            class: self.class,
            limits: resolved.allowance.limits,
            tokens: required_tokens(resolved),
            deadline: self.deadline,
        };
        let permit = admission.admit(query).await?;
        let (request, Allowed { resolved }) = self.split();
        Ok(request.with_stage(Admitted { resolved, permit, queue_time: Duration::ZERO }))
    }
}

/// An estimate of the request's input and output tokens.
fn required_tokens(resolved: &Resolved) -> u32 {
    match resolved.need {
        Need::Service { .. } => 0,
        Need::Model { .. } => {
            let output_tokens = resolved.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
            estimate_tokens(resolved.body.len()).saturating_add(output_tokens)
        }
    }
}

/// Estimates the number of tokens in `bytes` bytes of text.
pub(super) fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
