use std::{convert::Infallible, fmt};

use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Bytes, Frame, Incoming};
use smol::channel::Receiver;

/// A body that this program sends.
pub type Body = UnsyncBoxBody<Bytes, IncompleteBody>;

/// The sender of a body failed before its end; the connection is cut so that the receiver sees
/// that the body is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was whole; ask again")
    }
}

impl std::error::Error for IncompleteBody {}

impl From<Infallible> for IncompleteBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body that is known whole.
///
/// ```
/// use http_body_util::BodyExt;
/// use pomelogate::http;
///
/// let body = smol::block_on(http::full("pong").collect()).unwrap();
/// assert_eq!(body.to_bytes(), "pong");
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(IncompleteBody::from).boxed_unsync()
}

/// A body whose pieces come through a channel; a closed channel ends it.
pub fn channel(pieces: Receiver<Result<Bytes, IncompleteBody>>) -> Body {
    let frames = pieces.map(|piece| piece.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Why a body could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// It is larger than the limit.
    TooLarge,
    /// It ended before it was whole.
    Incomplete,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Where the body is larger, or ends before it is whole.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(cause) if cause.is::<http_body_util::LengthLimitError>() => Err(CollectError::TooLarge),
        Err(_) => Err(CollectError::Incomplete),
    }
}
