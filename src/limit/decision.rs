use std::time::Instant;

use super::Ticket;
use crate::outcome::Refusal;

/// What becomes of a request that is offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Admit(Ticket),
    /// It waits; a later [`Progress`] admits or expires it.
    Wait(Ticket),
    /// It is refused and did not run.
    Refuse(Refusal),
}

/// What a step of the gate did to the requests that waited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The requests that run now, in order.
    pub admitted: Vec<Ticket>,
    /// The requests whose deadline passed; they did not run.
    pub expired: Vec<Ticket>,
    /// When to call [`Limiter::tick`](super::Limiter::tick) at the latest; none where nothing waits.
    pub next_tick: Option<Instant>,
}
