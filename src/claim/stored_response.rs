use prost::{Message, bytes::Bytes};

/// The answer of a target, as a claim keeps it for retries.
#[derive(Clone, PartialEq, Message)]
pub struct StoredResponse {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The body; empty where it was too large to keep.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Whether the body was too large to keep: the call ran, but its answer is gone.
    #[prost(bool, tag = "4")]
    pub body_dropped: bool,
}

/// A header of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

impl StoredResponse {
    /// The bytes that the answer takes.
    pub(super) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|header| header.name.len() + header.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}
