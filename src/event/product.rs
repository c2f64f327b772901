//! Events 600 to 699.

use super::Event;

/// Every event of this part.
pub const ALL: &[Event] = &[];
