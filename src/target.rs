//! Targets: what they announce, and what a VM knows of them.

mod announcement;
mod load;
mod offer;

pub use self::{announcement::Announcement, load::Load, offer::Offer};
