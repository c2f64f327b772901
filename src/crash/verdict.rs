use crate::outcome::Refusal;

/// What the ledger says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Allow,
    /// It was in flight where a target died: it may run, on a target where no other suspect runs.
    Isolate,
    /// It is refused and did not run.
    Refuse(Refusal),
}
