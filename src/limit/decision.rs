use std::time::Instant;

use super::Ticket;
use crate::outcome::Refusal;

/// The limiter's decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run now.
    Admit(Ticket),
    /// The request waits in a queue; a later [`Progress`] admits or expires it.
    Wait(Ticket),
    /// The request is refused and must not run.
    Refuse(Refusal),
}

/// What a call to the limiter did to the waiting requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The requests that may run now, in the order of their admission.
    pub admitted: Vec<Ticket>,
    /// The requests whose deadline passed in the queue; they must not run.
    pub expired: Vec<Ticket>,
    /// The latest time for the next call to [`Limiter::tick`](super::Limiter::tick); `None` if no
    /// request waits.
    pub next_tick: Option<Instant>,
}
