//! Events 100 to 199.

use super::{Event, Severity};

/// A replica began to lead its group.
pub const LEADS: Event = Event { number: 100, severity: Severity::Info, text: "leads the group" };
/// A replica no longer leads its group.
pub const FOLLOWS: Event =
    Event { number: 101, severity: Severity::Info, text: "no longer leads the group" };
/// A replica is empty and belongs to no group yet.
pub const WAITS: Event =
    Event { number: 102, severity: Severity::Warning, text: "empty replica waits to be admitted" };
/// The folder failed; the replica stopped.
pub const DISK: Event =
    Event { number: 103, severity: Severity::Error, text: "replica stopped: its folder failed" };
/// A snapshot cannot be read by the machine; the replica stopped.
pub const SNAPSHOT: Event = Event {
    number: 104,
    severity: Severity::Error,
    text: "replica stopped: its snapshot cannot be restored",
};
/// A message between replicas cannot be read.
pub const GARBLED: Event =
    Event { number: 105, severity: Severity::Warning, text: "unreadable message dropped" };

/// Every event of this part.
pub const ALL: &[Event] = &[LEADS, FOLLOWS, WAITS, DISK, SNAPSHOT, GARBLED];
