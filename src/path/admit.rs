use super::{Allowed, Request, Resolved};
use crate::outcome::Refusal;

/// The fifth stage: the customer's limits leave room for the request.
#[derive(Debug)]
pub struct Admitted {
    /// The request, resolved and allowed.
    pub resolved: Resolved,
}

impl Request<Allowed> {
    /// Takes the request's share of its customer's limits.
    ///
    /// # Errors
    ///
    /// Where the limits leave no room.
    pub fn admit(self) -> Result<Request<Admitted>, Refusal> {
        let (request, Allowed { resolved }) = self.split();
        Ok(request.at(Admitted { resolved }))
    }
}
