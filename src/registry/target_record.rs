use prost::{Enumeration, Message};

use super::RecordVersion;
use crate::id;

/// State of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum State {
    /// The target accepts requests.
    Ready = 0,
    /// The target accepts no new requests and finishes those that it has.
    Leaving = 1,
    /// The target has ended, or another target took over its address.
    Gone = 2,
}

/// A target as the replicas agreed on it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRecord {
    /// Identifier of the target; a restarted target may keep it.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start time of the target in Unix milliseconds, by its own clock.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the announcement that last changed the record.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Service that the target runs.
    #[prost(string, tag = "4")]
    pub service: String,
    /// IP address and port at which the target accepts connections.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Availability zone of the target.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Number of requests that the target processes concurrently.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// State of the target.
    #[prost(enumeration = "State", tag = "8")]
    pub state: i32,
    /// Milliseconds for which the target remained cold when it sent the announcement.
    #[prost(uint64, tag = "9")]
    pub cold_remaining_ms: u64,
    /// Log index at which the record last changed.
    #[prost(uint64, tag = "10")]
    pub changed_index: u64,
    /// Version of the software that the target runs; empty if it is unknown.
    #[prost(string, tag = "11")]
    pub software_version: String,
    /// The target that took over the address of this one; empty if none did. Otherwise a gone target
    /// has been withdrawn.
    #[prost(string, tag = "12")]
    pub replaced_by: String,
    /// Unix milliseconds up to which any incarnation that started has been withdrawn, announced or
    /// not; 0 if only this one has. Nothing else is known of a target without a service.
    #[prost(uint64, tag = "13")]
    pub withdrawn_by_ms: u64,
}

impl TargetRecord {
    /// The record's version.
    pub fn version(&self) -> RecordVersion {
        RecordVersion { target: self.target.clone(), changed_index: self.changed_index }
    }

    /// Whether the target of this record is the one of `known`, which has said the same or something
    /// newer.
    pub fn is_outdated_by(&self, known: &Self) -> bool {
        let late = known.incarnation == self.incarnation
            && (known.state() == State::Gone || self.sequence <= known.sequence);
        let withdrawn = known.is_withdrawn_by_start(self.incarnation);
        known.target == self.target && (known.incarnation > self.incarnation || late || withdrawn)
    }

    /// Whether the target of this record has said it after another one took over its address.
    pub(super) fn is_after_displacement(&self, known: &Self) -> bool {
        (&known.target, known.incarnation) == (&self.target, self.incarnation)
            && known.state() == State::Gone
            && !known.is_withdrawn(self.incarnation)
            && known.sequence < self.sequence
    }

    /// Whether this incarnation of the target has been withdrawn, so that it never returns.
    pub fn is_withdrawn(&self, incarnation: u64) -> bool {
        let is_known_incarnation = self.incarnation == incarnation
            && self.state() == State::Gone
            && self.replaced_by.is_empty();
        is_known_incarnation || self.is_withdrawn_by_start(incarnation)
    }

    fn is_withdrawn_by_start(&self, incarnation: u64) -> bool {
        self.withdrawn_by_ms > 0 && incarnation <= self.withdrawn_by_ms
    }

    /// Version of the software that the target runs; `None` if a process that did not know it wrote
    /// the record.
    pub fn software_version(&self) -> Option<id::SoftwareVersion> {
        (!self.software_version.is_empty())
            .then(|| id::SoftwareVersion::from(self.software_version.as_str()))
    }
}
