use prost::{Message, bytes::Bytes};

use super::{Subject, Versions};

/// Asks a peer for what is newer than the versions named, and reports them as in force.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The VM that asks.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The versions that it serves.
    #[prost(message, required, tag = "3")]
    pub versions: Versions,
    /// What other VMs, which fetch from this one, serve.
    #[prost(message, repeated, tag = "4")]
    pub relayed_versions: Vec<VmVersions>,
}

/// The versions that a VM serves.
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

/// What is newer than the versions that a peer named; also, with whole parts, a cache file.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The versions of the sender.
    #[prost(message, required, tag = "1")]
    pub versions: Versions,
    /// What changed, a part for each subject that did.
    #[prost(message, repeated, tag = "2")]
    pub subject_updates: Vec<SubjectUpdate>,
}

/// What changed of one subject.
#[derive(Clone, PartialEq, Message)]
pub struct SubjectUpdate {
    /// The subject.
    #[prost(enumeration = "Subject", tag = "1")]
    pub subject: i32,
    /// The version from which the part leads; zero, for a snapshot, starts from nothing.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The version to which the part leads.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Entries that are new or changed.
    #[prost(message, repeated, tag = "4")]
    pub changed: Vec<Entry>,
    /// Names of entries that are gone.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// The SHA-256 digest of the whole content at the version.
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
