use prost::{Message, bytes::Bytes};

use super::{Subject, Versions};

/// Requests what is newer than `versions` from a peer, and reports `versions` as in force.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The requesting VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The versions in force on it.
    #[prost(message, required, tag = "3")]
    pub versions: Versions,
    /// The versions in force on the VMs that fetch from this one.
    #[prost(message, repeated, tag = "4")]
    pub relayed_versions: Vec<VmVersions>,
}

/// The versions in force on a VM.
#[derive(Clone, PartialEq, Message)]
pub struct VmVersions {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The versions.
    #[prost(message, required, tag = "3")]
    pub versions: Versions,
}

/// The reply to a [`Fetch`]: everything newer than the requested versions. With full updates it is
/// also the content of the cache file.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The versions of the sender.
    #[prost(message, required, tag = "1")]
    pub versions: Versions,
    /// One update for each subject that changed.
    #[prost(message, repeated, tag = "2")]
    pub subject_updates: Vec<SubjectUpdate>,
}

/// A delta or snapshot of one subject.
#[derive(Clone, PartialEq, Message)]
pub struct SubjectUpdate {
    /// The subject.
    #[prost(enumeration = "Subject", tag = "1")]
    pub subject: i32,
    /// The version that the delta starts from; zero for a snapshot.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The version after the update is applied.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// New and changed entries.
    #[prost(message, repeated, tag = "4")]
    pub changed: Vec<Entry>,
    /// Names of removed entries.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// The SHA-256 digest of the full content at `version`.
    #[prost(bytes = "bytes", tag = "6")]
    pub digest: Bytes,
}

/// One entry of a list.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Its name: a customer, a plan or the scope of a stop.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its canonical JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
}
