use prost::Message;

/// The records of one VM, for the other VMs of its region.
#[derive(Clone, PartialEq, Message)]
pub struct RecordSet {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

/// What is known of one request.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The request's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The deaths at which it was in flight.
    #[prost(message, repeated, tag = "2")]
    pub deaths: Vec<Death>,
}

/// A request that is refused on all VMs.
#[derive(Clone, PartialEq, Message)]
pub struct BlockedRequest {
    /// The request's digest.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Milliseconds for which it is refused.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
}

/// One death of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Death {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation that died.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Milliseconds for which the death still counts.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Whether the request has since finished on another target, and so did not cause the death.
    #[prost(bool, tag = "4")]
    pub cleared: bool,
}
