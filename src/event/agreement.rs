//! Events 100 to 199.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
