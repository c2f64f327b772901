//! Events 400 to 499.

use super::{Event, Severity};

/// A link to or from another VM ended.
pub const CLOSED: Event =
    Event { number: 400, severity: Severity::Info, text: "a link between VMs closed" };

/// A link was dropped because nothing came over it.
pub const SILENT: Event =
    Event { number: 401, severity: Severity::Warning, text: "a link between VMs went silent" };

/// A link was dropped because of a frame that has no place on it.
pub const MALFORMED: Event =
    Event { number: 402, severity: Severity::Error, text: "a link carried a malformed frame" };

/// Another VM than expected answers at a links address.
pub const STRANGER: Event =
    Event { number: 403, severity: Severity::Error, text: "another VM answers at an address" };

/// A VM joined or was started again.
pub const JOINED: Event =
    Event { number: 410, severity: Severity::Info, text: "a VM joined or started again" };

/// What is known of a VM's life changed.
pub const STATE: Event =
    Event { number: 411, severity: Severity::Warning, text: "the state of a VM changed" };

/// This VM tells the others that it stops.
pub const LEAVING: Event =
    Event { number: 412, severity: Severity::Info, text: "this VM announces that it leaves" };

/// A target announced that it leaves.
pub const TARGET_LEFT: Event =
    Event { number: 420, severity: Severity::Info, text: "a target leaves" };

/// A target's lease ended without a renewal.
pub const TARGET_EXPIRED: Event =
    Event { number: 421, severity: Severity::Warning, text: "a target did not renew its lease" };

/// An announcement was refused.
pub const NONSENSE: Event =
    Event { number: 422, severity: Severity::Warning, text: "an announcement was refused" };

/// No other VM of the region took a target's announcement or leave.
pub const UNCOPIED: Event =
    Event { number: 423, severity: Severity::Warning, text: "no other VM of the region has it" };

/// Every event of this part.
pub const ALL: &[Event] = &[
    CLOSED,
    SILENT,
    MALFORMED,
    STRANGER,
    JOINED,
    STATE,
    LEAVING,
    TARGET_LEFT,
    TARGET_EXPIRED,
    NONSENSE,
    UNCOPIED,
];
