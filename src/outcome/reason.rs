use serde::{Deserialize, Serialize};

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The key is missing or unknown.
    Unauthenticated,
    /// The request is malformed.
    Malformed,
    /// A name is unknown.
    UnknownName,
    /// A name has several meanings.
    AmbiguousName,
    /// The customer's plan does not allow the request.
    NotAllowed,
    /// This VM is not in a region that the customer's plan permits.
    WrongRegion,
    /// A queue of the customer is full, its retry budget is spent, or a region has no free capacity
    /// to spare.
    Overloaded,
    /// No target that can serve the request is known or can be reached.
    NoTarget,
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed,
    /// The request has reached the limit on hand-overs, or was handed back to a VM that it crossed.
    TooManyHops,
    /// Several targets died while they ran the same request, so it is blocked for a while.
    #[serde(rename = "crashing")]
    CrashesTargets,
    /// A call that is not idempotent has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for a different request, or is too old.
    KeyConflict,
    /// The customer's home region, which decides whether the call may run, cannot be reached.
    HomeUnreachable,
    /// The VM is stopping.
    Stopping,
    /// The VM has not received the lists of plans and allowances yet.
    NotReady,
    /// The body, a header or a line is larger than permitted.
    TooLarge,
}
