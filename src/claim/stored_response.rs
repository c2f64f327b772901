use prost::{Message, bytes::Bytes};

/// The response of a target, kept with a claim for retries.
#[derive(Clone, PartialEq, Message)]
pub struct StoredResponse {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The body; empty if the response was too large to keep.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Whether headers and body were dropped because the response was too large to keep. The call
    /// ran, but its response is lost.
    #[prost(bool, tag = "4")]
    pub body_dropped: bool,
}

/// A header of a response.
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
    /// The size of headers and body in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|header| header.name.len() + header.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}
