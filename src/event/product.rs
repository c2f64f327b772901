//! Events 600 to 699: settings, figures and the administration API.

use super::{Event, Severity};

/// The settings hold something doubtful.
pub const SETTINGS: Event =
    Event { number: 600, severity: Severity::Warning, text: "doubtful settings" };
/// An operator's request was refused for its key.
pub const KEY: Event =
    Event { number: 601, severity: Severity::Warning, text: "operator's key refused" };
/// An operator's request was taken.
pub const OPERATOR: Event =
    Event { number: 602, severity: Severity::Info, text: "operator's request" };

/// Every event of this part.
pub const ALL: &[Event] = &[SETTINGS, KEY, OPERATOR];
