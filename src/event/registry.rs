//! Events 700 to 799: the registry and its replicas.

use super::{Event, Severity};

/// The replica cannot use its folder.
pub const NO_REPLICA: Event =
    Event { number: 700, severity: Severity::Error, text: "replica cannot start" };
/// The replica's role, its leader or the size of the group changed.
pub const REPLICA: Event =
    Event { number: 701, severity: Severity::Info, text: "replica changed its part" };
/// The leader changed the members of the group.
pub const MEMBERS: Event =
    Event { number: 702, severity: Severity::Info, text: "members of the group changed" };
/// An operator's order was decided on.
pub const ORDER: Event = Event { number: 703, severity: Severity::Info, text: "order decided on" };
/// A target said something new.
pub const TARGET: Event =
    Event { number: 704, severity: Severity::Info, text: "target said something new" };
/// A message of another VM cannot be read.
pub const UNREADABLE: Event =
    Event { number: 705, severity: Severity::Warning, text: "unreadable message dropped" };
/// Something that does not name a target was announced.
pub const NO_TARGET: Event =
    Event { number: 706, severity: Severity::Warning, text: "announcement not understood" };

/// A VM asks another replica, or the one that it asks answers otherwise than before.
pub const FOLLOWED: Event =
    Event { number: 707, severity: Severity::Info, text: "replica asked for news" };
/// A list of routes is in force on this VM.
pub const IN_FORCE: Event =
    Event { number: 708, severity: Severity::Info, text: "routes are in force" };
/// The settings name other seeds.
pub const SEEDS: Event = Event { number: 709, severity: Severity::Info, text: "seeds changed" };
/// The settings could not be read again; the former ones hold.
pub const NOT_RELOADED: Event =
    Event { number: 710, severity: Severity::Warning, text: "settings not read again" };
/// A target took the place of records that nobody renews.
pub const TAKEN_OVER: Event = Event {
    number: 711,
    severity: Severity::Warning,
    text: "target took over from silent records",
};
/// A record of the registry names a target that no request can be sent to.
pub const UNUSABLE: Event =
    Event { number: 712, severity: Severity::Warning, text: "target has no usable address" };

/// The cold period of a target began, or ends later or earlier than was known.
pub const COLD: Event =
    Event { number: 713, severity: Severity::Info, text: "cold period of a target changed" };

/// The process goes on after it was suspended.
pub const RESUMED: Event =
    Event { number: 714, severity: Severity::Warning, text: "process was suspended" };

/// A replica that is about to stop asked its group to remove it.
pub const LEFT: Event =
    Event { number: 715, severity: Severity::Info, text: "replica asked to leave its group" };

/// This replica leads and begins to grant from the quotas of organisations.
pub const GRANTS: Event =
    Event { number: 716, severity: Severity::Info, text: "replica grants quotas" };
/// Another replica than before grants this VM from the quotas of organisations.
pub const GRANTED_BY: Event =
    Event { number: 717, severity: Severity::Info, text: "quotas are granted by a replica" };

/// Every event of this part.
pub const ALL: &[Event] = &[
    NO_REPLICA,
    REPLICA,
    MEMBERS,
    ORDER,
    TARGET,
    UNREADABLE,
    NO_TARGET,
    FOLLOWED,
    IN_FORCE,
    SEEDS,
    NOT_RELOADED,
    TAKEN_OVER,
    UNUSABLE,
    COLD,
    RESUMED,
    LEFT,
    GRANTS,
    GRANTED_BY,
];
