use std::{sync::Arc, time::Duration};

use super::{Allowed, Request, Resolved};
use crate::{
    limit::{Admission, Permit},
    outcome::Refusal,
    target::Need,
};

/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that an answer is taken to have where the request names no limit.
const ANSWER_TOKENS: u32 = 256;

/// The fifth stage: the customer's limits leave room for the request.
#[derive(Debug)]
pub struct Admitted {
    /// The request, resolved and allowed.
    pub resolved: Resolved,
    /// The request's place in its customer's limits.
    pub permit: Permit,
    /// How long it waited for that place.
    pub queue_time: Duration,
}

impl Request<Allowed> {
    /// Takes the request's share of its customer's limits, waiting for it where there is a queue.
    ///
    /// # Errors
    ///
    /// Where the limits leave no room, or the deadline passed meanwhile.
    pub async fn admit(self, admission: &Arc<Admission>) -> Result<Request<Admitted>, Refusal> {
        let resolved = &self.stage.resolved;
        let offer = crate::limit::Request {
            customer: &resolved.plan.customer,
            class: self.class,
            limits: resolved.allowance.limits,
            tokens: tokens(resolved),
            deadline: self.deadline,
        };
        let permit = admission.admit(offer).await?;
        let (request, Allowed { resolved }) = self.split();
        Ok(request.at(Admitted { resolved, permit, queue_time: Duration::ZERO }))
    }
}

/// The tokens that the request is taken to need: those of its text, and those of its answer.
fn tokens(resolved: &Resolved) -> u32 {
    match resolved.need {
        Need::Service { .. } => 0,
        Need::Model { .. } => {
            let answer = resolved.max_output_tokens.unwrap_or(ANSWER_TOKENS);
            estimate(resolved.body.len()).saturating_add(answer)
        }
    }
}

/// The tokens that so many bytes of text make.
pub(super) fn estimate(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
