//! Targets: what they announce, and what a VM knows of them.

mod announcement;
mod load;
mod need;
mod offer;
mod view;

pub use self::{announcement::Announcement, load::Load, need::Need, offer::Offer, view::View};
