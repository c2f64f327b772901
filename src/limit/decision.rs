use std::time::Instant;

use super::Ticket;
use crate::outcome::Refusal;

/// What becomes of a request that is offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Admit(Ticket),
    /// It waits; a later [`Change`] admits or expires it.
    Wait(Ticket),
    /// It is refused and did not run.
    Refuse(Refusal),
}

/// What a step of the gate did to the requests that waited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The requests that run now, in order.
    pub admitted: Vec<Ticket>,
    /// The requests whose deadline passed; they did not run.
    pub expired: Vec<Ticket>,
    /// When to call [`Gate::tick`](super::Gate::tick) at the latest; none where nothing waits.
    pub wake: Option<Instant>,
}
