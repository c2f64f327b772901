//! Detection of requests that crash the targets that run them.
//!
//! A [`CrashTracker`] on each VM counts for each request, identified by its [`Digest`], the targets
//! that died while the request was in flight there. The VMs of a region exchange their records as
//! [`RecordSet`]s; merging them is commutative and idempotent. Where no two requests are alike, a
//! [`PartTracker`] finds the part that their prompts share and that crashes targets.

mod digest;
mod part_record;
mod part_settings;
mod part_tracker;
mod record_set;
mod settings;
mod suspect;
mod tracker;
mod verdict;

pub use self::{
    digest::Digest,
    part_record::{BlockedParts, FinishedPart, PartDeath, PartRecordSet},
    part_settings::PartSettings,
    part_tracker::PartTracker,
    record_set::{BlockedRequest, Death, Record, RecordSet},
    settings::Settings,
    tracker::CrashTracker,
    verdict::Verdict,
};
