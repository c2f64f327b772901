//! Targets: what they announce, and what a VM knows of them.
//!
//! Every VM of a region holds all of the region's targets, each under a lease that only newer
//! announcements extend. Other regions hold a summary: what could be served there, and how much.

mod announcement;
mod capacity;
mod index;
mod load;
mod message;
mod need;
mod nonsense;
mod offer;
mod renewals;
mod report;
mod settings;
mod telling;
mod view;

pub use self::{
    announcement::Announcement,
    capacity::Capacity,
    load::Load,
    message::{Gossip, Line, Sent, Summary},
    need::Need,
    nonsense::Nonsense,
    offer::Offer,
    renewals::Renewals,
    report::Report,
    settings::Settings,
    telling::Telling,
    view::View,
};
use self::{index::Index, renewals::Renewal};
