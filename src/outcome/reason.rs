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
    /// A name means several things.
    AmbiguousName,
    /// The plan does not allow what was asked.
    NotAllowed,
    /// This VM stands outside the regions that the plan permits.
    WrongRegion,
    /// A limit or queue of the customer is full.
    Overloaded,
    /// No capable target is known at present.
    NoTarget,
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed,
    /// The request crossed as many VMs as a request may.
    TooManyHops,
    /// The same request has crashed targets and is blocked for a while.
    #[serde(rename = "crashing")]
    CrashesTargets,
    /// A call that is not idempotent came without an idempotency key.
    KeyRequired,
    /// The idempotency key was used with another request, or is too old.
    KeyConflict,
    /// The home region that decides on the call cannot be reached.
    HomeUnreachable,
    /// The VM is stopping.
    Stopping,
    /// The VM has not yet learnt the lists that it has to decide by.
    NotReady,
    /// The body, a header or a line is larger than permitted.
    TooLarge,
}
