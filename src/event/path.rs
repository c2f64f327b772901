//! Events 500 to 599: the request path and the VM's shell.

use super::{Event, Severity};

/// The VM takes callers.
pub const STARTED: Event = Event { number: 500, severity: Severity::Info, text: "started" };
/// The VM has stopped.
pub const STOPPED: Event = Event { number: 501, severity: Severity::Info, text: "stopped" };
/// The VM takes no new request and waits for those in flight.
pub const STOPPING: Event = Event { number: 504, severity: Severity::Info, text: "stopping" };
/// A request ended.
pub const REQUEST: Event = Event { number: 502, severity: Severity::Info, text: "request ended" };
/// A target announced itself for the first time.
pub const TARGET: Event =
    Event { number: 503, severity: Severity::Info, text: "target announced itself" };

/// A file of lists to begin with has a fault, so it is not proposed.
pub const FAULTY_LIST: Event =
    Event { number: 505, severity: Severity::Error, text: "list file has a fault" };
/// The outcome of a call could not be kept.
pub const NOT_SETTLED: Event =
    Event { number: 506, severity: Severity::Warning, text: "outcome of a call not kept" };

/// A request was turned away before a rule was found for it.
pub const TURNED_AWAY: Event =
    Event { number: 507, severity: Severity::Info, text: "request turned away" };
/// A target gave no answer to a request.
pub const NOT_ANSWERED: Event =
    Event { number: 508, severity: Severity::Warning, text: "no answer of a target" };
/// An answer broke off midway.
pub const BROKEN_OFF: Event =
    Event { number: 509, severity: Severity::Warning, text: "answer broken off" };
/// A stream broke off and another target was looked for.
pub const RESUMED: Event =
    Event { number: 510, severity: Severity::Warning, text: "stream broke off at its target" };
/// A request that another VM handed over ended.
pub const TAKEN_OVER: Event =
    Event { number: 511, severity: Severity::Info, text: "handed-over request ended" };

/// Ordinary lines were left out, as there were too many in a second.
pub const LEFT_OUT: Event =
    Event { number: 512, severity: Severity::Info, text: "ordinary lines left out" };

/// A caller takes up a stream, and the software version that began it is known.
pub const TAKEN_UP: Event =
    Event { number: 515, severity: Severity::Info, text: "stream taken up again" };

/// A connection could not be accepted; accepting goes on.
pub const NOT_ACCEPTED: Event =
    Event { number: 516, severity: Severity::Warning, text: "connection not accepted" };

/// Every event of this part.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPED,
    REQUEST,
    TARGET,
    STOPPING,
    FAULTY_LIST,
    NOT_SETTLED,
    TURNED_AWAY,
    NOT_ANSWERED,
    BROKEN_OFF,
    RESUMED,
    TAKEN_OVER,
    LEFT_OUT,
    TAKEN_UP,
    NOT_ACCEPTED,
];
