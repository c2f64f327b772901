//! Events 400 to 499.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
