use prost::Message;

use super::record::Record;

/// The encoded form of the state machine in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Image {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
    #[prost(uint64, tag = "2")]
    pub now_ms: u64,
    #[prost(uint64, optional, tag = "3")]
    pub complete_since_ms: Option<u64>,
}
