use crate::outcome::Refusal;

/// How a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run on any target.
    Allow,
    /// The request was in flight when a target died. It may run only on a target where this
    /// VM has no other such request in flight.
    Isolate,
    /// The request was in flight at too many deaths and must not run.
    Refuse(Refusal),
}
