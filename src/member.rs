//! Membership: which VMs there are, which are alive, and which a caller should use.
//!
//! Each VM counts its own heartbeats and passes on the highest count it knows of each VM of its
//! region, so that a VM lives as long as its count grows by any way. Regions tell each other of
//! a few members only, through relays.

mod member_record;
mod membership;
mod membership_report;
mod settings;
mod state;

pub use self::{
    member_record::MemberRecord,
    membership::Membership,
    membership_report::{Member, MembershipReport},
    settings::Settings,
    state::State,
};
