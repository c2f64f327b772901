use hyper::{HeaderMap, header::AUTHORIZATION};

use super::{Class, Received, Request, header};
use crate::{
    id,
    list::{Allowance, Plan},
    outcome::{Reason, Refusal},
};

/// The second stage: the customer is authenticated.
#[derive(Debug)]
pub struct Authenticated {
    /// The headers of the caller's request.
    pub headers: HeaderMap,
    /// The customer's plan.
    pub plan: Plan,
    /// What the plan permits.
    pub allowance: Allowance,
}

impl Request<Received> {
    /// Looks up the customer's plan by the key in the `Authorization` header, and reads the class.
    ///
    /// # Errors
    ///
    /// If the key is missing or unknown, the plan has no allowance, or the class is unknown.
    pub fn authenticate(mut self) -> Result<Request<Authenticated>, Refusal> {
        let key = bearer_key(&self.stage.headers)?;
        let plan = self.book.plan_for_key(key).cloned().ok_or_else(unknown_key)?;
        let allowance =
            self.book.allowance(&plan.plan).cloned().ok_or_else(|| no_allowance(&plan.plan))?;
        self.class = requested_class(&self.stage.headers)?;
        let headers = std::mem::take(&mut self.stage.headers);
        Ok(self.with_stage(Authenticated { headers, plan, allowance }))
    }
}

impl Request<Authenticated> {
    /// Checks that the plan permits `region`. Uses only the headers, so that a request from another
    /// region is refused before its body is read.
    ///
    /// # Errors
    ///
    /// If the plan does not permit `region`.
    pub fn check_region(&self, region: &id::Region) -> Result<(), Refusal> {
        if self.stage.allowance.regions.contains(region) {
            return Ok(());
        }
        Err(Refusal::new(
            Reason::WrongRegion,
            format!("plan `{}` does not permit region `{region}`", self.stage.plan.plan),
            "send the request to one of the VMs that the `Location` header or the directory names",
        ))
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(|| {
        Refusal::new(
            Reason::Unauthenticated,
            "there is no key",
            "send the header `Authorization: Bearer <key>`",
        )
    })
}

fn unknown_key() -> Refusal {
    Refusal::new(
        Reason::Unauthenticated,
        "the key is unknown",
        "use a key whose digest stands in the list of plans",
    )
}

fn no_allowance(plan: &id::Plan) -> Refusal {
    Refusal::new(
        Reason::NotAllowed,
        format!("plan `{plan}` has no allowance"),
        "ask the operator to add it to the list of allowances",
    )
}

fn requested_class(headers: &HeaderMap) -> Result<Class, Refusal> {
    let Some(value) = headers.get(header::CLASS) else { return Ok(Class::default()) };
    value.to_str().ok().and_then(Class::from_text).ok_or_else(|| {
        Refusal::new(
            Reason::Malformed,
            format!("the header `{}` names no class", header::CLASS),
            "use `interactive` or `batch`, or leave it out",
        )
    })
}
