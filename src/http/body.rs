use std::{
    convert::Infallible,
    fmt,
    io::{self, ErrorKind},
};

use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Bytes, Frame, Incoming};
use smol::channel::Receiver;

/// A body of a request or response that this program sends.
pub type Body = UnsyncBoxBody<Bytes, IncompleteBody>;

/// The error of a body that ended before it was complete. It makes `hyper` close the connection, so
/// that the receiver detects the incomplete body.
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

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a body with all its bytes.
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

/// Returns a body that receives its chunks from a channel and ends when the channel is closed.
pub fn channel(chunks: Receiver<Result<Bytes, IncompleteBody>>) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// The error of reading a complete body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended before it was complete.
    Incomplete,
}

/// Reads a complete body; what is left of it may be read on if this is cancelled.
///
/// # Errors
///
/// If the body is larger than `max_bytes` or ends before it is complete.
pub async fn collect(body: &mut Incoming, max_bytes: usize) -> Result<Bytes, CollectError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<http_body_util::LengthLimitError>() => Err(CollectError::TooLarge),
        Err(_) => Err(CollectError::Incomplete),
    }
}

/// Reads the rest of a body that nobody needs. To close a connection on which bytes still arrive resets
/// it, and its other end may not see the response.
pub async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Says why the body of a target's response could not be read to its end.
pub fn read_failure(error: &hyper::Error) -> String {
    let io_error =
        std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    match io_error {
        Some(cause) if matches!(cause.kind(), ErrorKind::InvalidData | ErrorKind::InvalidInput) => {
            format!("the target's answer is malformed: {cause}")
        }
        _ => "the target cut its answer short".to_owned(),
    }
}
