//! What all VMs act on: the list of routes, the zones that get no work, and the targets.
//!
//! Replicas agree on it ([`Machine`], [`Command`]); every other VM holds a [`Mirror`], which it
//! renews by asking a replica for what changed since the index that it has ([`Ask`], [`News`]).
//! Of targets only what binds all VMs is agreed on (that one exists, is cold, leaves, is gone);
//! that an announcement came again is passed on as the time since, with the VMs that take callers
//! ([`Roster`]). The [`Steward`] decides on the replicas themselves.

mod announcement;
mod census;
mod command;
mod machine;
mod mirror;
mod news;
mod roster;
mod steward;
mod target;

pub use self::{
    announcement::Announcement,
    census::Census,
    command::{Command, Drain, Establish, Operation, Publish, Reply, Withdraw},
    machine::Machine,
    mirror::{Lifetime, Mirror, Target},
    news::{Ask, Cold, Colds, Convicts, Loads, News, RegionLoad, RoutesText, Silent, Vms},
    roster::{Digest, Entry, Heard, Load, Roster, Seen, Word},
    steward::{Action, Steward},
    target::{Row, State},
};
