//! Membership by gossip: which VMs exist, which are alive, and which a caller should use.
//!
//! Each VM counts its own heartbeats and gossips the highest count that it knows of each VM of its
//! region. A VM is alive as long as its count grows, whichever VMs report it. Regions report only a
//! few members to each other, through relays.

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
