//! Requests that crash the targets that run them.
//!
//! A [`CrashTracker`] on each VM counts, for each digest of a request, the targets that died while it
//! was in flight there. The VMs of a region share their records; a merge is commutative and
//! idempotent.

mod digest;
mod record_set;
mod settings;
mod suspect;
mod tracker;
mod verdict;

pub use self::{
    digest::Digest,
    record_set::{BlockedRequest, Death, Record, RecordSet},
    settings::Settings,
    tracker::CrashTracker,
    verdict::Verdict,
};
