//! Events 300 to 399: names, limits, placement and crashing requests.

use super::{Event, Severity};

/// The catalogue of names cannot be used.
pub const NAMES_INVALID: Event =
    Event { number: 300, severity: Severity::Error, text: "catalogue of names not valid" };
/// A name was refused because it means several things.
pub const AMBIGUOUS: Event =
    Event { number: 301, severity: Severity::Info, text: "ambiguous name refused" };
/// A request was refused because its customer's queue is full.
pub const OVERLOADED: Event =
    Event { number: 310, severity: Severity::Info, text: "request refused by a limit" };
/// A request's deadline passed while it waited.
pub const EXPIRED: Event =
    Event { number: 311, severity: Severity::Info, text: "request expired in the queue" };
/// A customer's retries are spent.
pub const RETRIES_SPENT: Event =
    Event { number: 312, severity: Severity::Warning, text: "retry budget spent" };
/// A request was placed on a target.
pub const PLACED: Event =
    Event { number: 320, severity: Severity::Info, text: "request placed on a target" };
/// A request was handed to another region.
pub const SPILLED: Event =
    Event { number: 321, severity: Severity::Info, text: "request handed to another region" };
/// No permitted place can take a request.
pub const NOWHERE: Event =
    Event { number: 322, severity: Severity::Warning, text: "no permitted place for a request" };
/// A request was in flight where a target died.
pub const SUSPECT: Event =
    Event { number: 330, severity: Severity::Warning, text: "request was in flight at a death" };
/// A request is refused because it crashes targets.
pub const CRASHING: Event =
    Event { number: 331, severity: Severity::Error, text: "crashing request refused" };

/// A VM could not be reached; it is handed nothing for a while.
pub const UNREACHED: Event = Event {
    number: 323,
    severity: Severity::Warning,
    text: "VM left alone, as it was not reached",
};

/// A target named another limit than before, or none any more.
pub const LIMIT_CHANGED: Event =
    Event { number: 340, severity: Severity::Info, text: "limit of a target changed" };
/// A target named a limit that is no number.
pub const LIMIT_UNREADABLE: Event =
    Event { number: 341, severity: Severity::Warning, text: "limit of a target not readable" };

/// A target asked this VM to send it nothing for a while.
pub const PAUSED: Event =
    Event { number: 342, severity: Severity::Info, text: "target asked for a pause" };
/// A target asked for a pause whose length is no number.
pub const PAUSE_UNREADABLE: Event =
    Event { number: 343, severity: Severity::Warning, text: "pause of a target not readable" };

/// A request was refused while its organisation was above its share of insufficient capacity.
pub const ABOVE_SHARE: Event =
    Event { number: 344, severity: Severity::Info, text: "organisation above its share refused" };

/// Every event of this part.
pub const ALL: &[Event] = &[
    NAMES_INVALID,
    AMBIGUOUS,
    OVERLOADED,
    EXPIRED,
    RETRIES_SPENT,
    PLACED,
    SPILLED,
    NOWHERE,
    UNREACHED,
    SUSPECT,
    CRASHING,
    LIMIT_CHANGED,
    LIMIT_UNREADABLE,
    PAUSED,
    PAUSE_UNREADABLE,
    ABOVE_SHARE,
];
