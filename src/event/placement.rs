//! Events 300 to 399.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
