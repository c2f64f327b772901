//! Detection of requests that crash the targets that run them.
//!
//! A [`CrashTracker`] on each VM counts for each request, identified by its [`Digest`], the targets
//! that died while the request was in flight there. The VMs of a region exchange their records as
//! [`RecordSet`]s; merging them is commutative and idempotent.

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
