//! Events 200 to 299.

use super::{Event, Severity};

/// Versions of the lists are in force on this VM.
pub const IN_FORCE: Event = Event { number: 200, severity: Severity::Info, text: "lists in force" };

/// Every event of this part.
pub const ALL: &[Event] = &[IN_FORCE];
