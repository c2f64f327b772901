use prost::{Message, Oneof, bytes::Bytes};

use super::{Run, StoredResponse};

/// The record of one idempotency key of one customer.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Record {
    #[prost(string, tag = "1")]
    pub customer: String,
    #[prost(string, tag = "2")]
    pub key: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    #[prost(string, tag = "4")]
    pub request: String,
    #[prost(string, tag = "5")]
    pub vm: String,
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(uint64, tag = "7")]
    pub claimed_ms: u64,
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    #[prost(oneof = "State", tags = "9, 10, 11")]
    pub state: Option<State>,
}

/// The state of a call.
#[derive(Clone, PartialEq, Oneof)]
pub(super) enum State {
    #[prost(message, tag = "9")]
    Running(Run),
    #[prost(message, tag = "10")]
    Answered(StoredResponse),
    #[prost(message, tag = "11")]
    Unknown(Run),
}

/// Estimated memory of a record besides its strings and response.
const OVERHEAD_BYTES: usize = 128;

impl Record {
    pub fn is_running(&self) -> bool {
        matches!(self.state, Some(State::Running(_)))
    }

    pub fn size_bytes(&self) -> usize {
        let response = match &self.state {
            Some(State::Answered(response)) => response.size_bytes(),
            _ => 0,
        };
        let strings = self.customer.len() + self.key.len() + self.request.len() + self.vm.len();
        OVERHEAD_BYTES + strings + self.digest.len() + response
    }
}
