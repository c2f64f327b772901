use super::{Request, Resolved};
use crate::{
    list::{Allowance, Grant},
    outcome::{Reason, Refusal},
    target::Need,
};

/// The fourth stage: the allowance of the customer's plan covers the request.
#[derive(Debug)]
pub struct Allowed {
    /// The request's resolved names, headers and body.
    pub resolved: Resolved,
}

impl Request<Resolved> {
    /// Checks the request against its plan's allowance, and that a request which must run at most
    /// once has an idempotency key.
    ///
    /// # Errors
    ///
    /// If the plan does not allow the model, version, adapter or service, or the key is missing.
    pub fn check_allowance(self) -> Result<Request<Allowed>, Refusal> {
        let Resolved { plan, allowance, need, idempotent, idempotency_key, .. } = &self.stage;
        if !permits(allowance, need) {
            return Err(Refusal::new(
                Reason::NotAllowed,
                format!("plan `{}` does not allow {need}", plan.plan),
                "ask the operator to add it to the list of allowances",
            ));
        }
        if !idempotent && idempotency_key.is_none() {
            return Err(Refusal::new(
                Reason::KeyRequired,
                "the call may not be repeated, and it has no idempotency key",
                "send the header `Idempotency-Key` with a text unique to this call",
            ));
        }
        let (request, resolved) = self.split();
        Ok(request.with_stage(Allowed { resolved }))
    }
}

fn permits(allowance: &Allowance, need: &Need) -> bool {
    match need {
        Need::Service { service } => allowance.services.contains(service),
        Need::Model { .. } => allowance.models.iter().any(|grant| covers(grant, need)),
    }
}

fn covers(grant: &Grant, need: &Need) -> bool {
    let Need::Model { model, version, adapter } = need else { return false };
    grant.model == *model
        && version
            .as_ref()
            .is_none_or(|version| grant.versions.is_empty() || grant.versions.contains(version))
        && adapter.as_ref().is_none_or(|adapter| grant.adapters.contains(adapter))
}
