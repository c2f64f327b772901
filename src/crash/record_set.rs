use prost::Message;

use super::PartRecordSet;

/// The records of one VM, as it sends them to the other VMs of its region and to replicas.
#[derive(Clone, PartialEq, Message)]
pub struct RecordSet {
    /// The records, one for each request.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    /// The parts of prompts in flight at deaths.
    #[prost(message, optional, tag = "2")]
    pub parts: Option<PartRecordSet>,
}

/// The target deaths at which one request was in flight.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The request's [`Digest`](super::Digest).
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The deaths.
    #[prost(message, repeated, tag = "2")]
    pub deaths: Vec<Death>,
}

/// A request that all VMs refuse.
#[derive(Clone, PartialEq, Message)]
pub struct BlockedRequest {
    /// The request's [`Digest`](super::Digest).
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// How much longer the request is refused.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
}

/// The death of one incarnation of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Death {
    /// The target's ID.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation that died.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// How much longer the death counts.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Whether the request has since finished on another target and so did not cause the death.
    #[prost(bool, tag = "4")]
    pub cleared: bool,
}
