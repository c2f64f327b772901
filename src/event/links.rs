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

/// Every event of this part.
pub const ALL: &[Event] = &[CLOSED, SILENT, MALFORMED, STRANGER];
