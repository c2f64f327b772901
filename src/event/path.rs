//! Events 500 to 599.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
