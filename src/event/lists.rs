//! Events 200 to 299.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
