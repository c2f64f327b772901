use prost::Message;

use super::Body;

/// The unit that is sent on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The ID of the exchange, unique on its connection; zero for frames outside of exchanges.
    #[prost(uint64, tag = "1")]
    pub exchange: u64,
    /// The content of the frame.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

impl Frame {
    /// Creates a frame of an exchange, or of none if `exchange` is zero.
    ///
    /// ```
    /// use pomelogate::wire::{Body, Frame, Heartbeat};
    ///
    /// let frame = Frame::new(0, Body::Heartbeat(Heartbeat { urgent: false }));
    /// assert_eq!(frame.exchange, 0);
    /// ```
    pub fn new(exchange: u64, body: Body) -> Self {
        Self { exchange, body: Some(body) }
    }
}
