//! Requests that crash the targets that run them.
//!
//! A [`Ledger`] on each VM counts, for each digest of a request, the targets that died while it
//! was in flight there. The VMs of a region share their records; a merge is commutative and
//! idempotent.

mod digest;
mod ledger;
mod notice;
mod settings;
mod suspect;
mod verdict;

pub use self::{
    digest::Digest,
    ledger::Ledger,
    notice::{Convict, Death, Notice, Record},
    settings::Settings,
    verdict::Verdict,
};
