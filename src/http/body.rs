use std::{
    convert::Infallible,
    fmt,
    io::{self, ErrorKind},
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Bytes, Frame, Incoming};
use prost::bytes::BytesMut;
use smol::{Timer, channel::Receiver, future::or};

use super::{BufferShare, Cause, RequestAccount};

/// The steps in which the memory of a body is counted and taken.
const BODY_STEP_BYTES: usize = 16 * 1024;
/// How often a body is looked at that is being read.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// What has to come of a body in that time while memory is scarce. At this rate a body of 4 MiB takes
/// 68 minutes.
const MIN_PROGRESS_BYTES: usize = 1024;

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
    /// There is no memory for the body.
    NoMemory,
}

/// Reads a complete body; what is left of it may be read on if this is cancelled.
///
/// # Errors
///
/// If the body is larger than `max_bytes` or ends before it is complete.
pub async fn collect(body: &mut Incoming, max_bytes: usize) -> Result<Bytes, CollectError> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        append(&mut buffer, frame, max_bytes)?;
    }
    Ok(buffer.freeze())
}

/// Reads a complete body like [`collect`], and counts its memory in the account of the process. The
/// bytes are counted until the returned share is dropped.
///
/// While memory is scarce, a body that makes almost no progress is given up.
///
/// # Errors
///
/// Those of [`collect`], or if there is no memory for the body.
pub async fn collect_counted(
    body: &mut Incoming,
    max_bytes: usize,
    request: &RequestAccount,
) -> Result<(Bytes, BufferShare), CollectError> {
    let account = request.account();
    let mut share = account.budget().share();
    let mut buffer = BytesMut::new();
    let declared_bytes = body.size_hint().exact().map(|bytes| usize::try_from(bytes).ok());
    let declared_bytes = declared_bytes.flatten().unwrap_or(0);
    if declared_bytes > max_bytes {
        return Err(CollectError::TooLarge);
    }
    let (mut counted_at, mut counted_bytes) = (Instant::now(), 0);
    loop {
        // One timer for many frames, as a body may come in chunks of one byte.
        let timeout = Timer::after(PROGRESS_INTERVAL);
        let read = async {
            while let Some(frame) = body.frame().await {
                let old_length = buffer.len();
                if let Ok(frame) = &frame {
                    let length = old_length + frame.data_ref().map_or(0, Bytes::len);
                    if length > max_bytes {
                        return Err(CollectError::TooLarge);
                    }
                    if length > buffer.capacity() {
                        let capacity = next_capacity(length, declared_bytes, max_bytes);
                        if !share.grow_to(capacity) {
                            account.record(Cause::Body);
                            return Err(CollectError::NoMemory);
                        }
                        buffer.reserve(capacity - old_length);
                    }
                }
                append(&mut buffer, frame, max_bytes)?;
            }
            Ok(true)
        };
        let waited = async {
            timeout.await;
            Ok(false)
        };
        if or(read, waited).await? {
            request.connection().set_running();
            return Ok((buffer.freeze(), share));
        }
        if account.budget().is_scarce()
            && counted_at.elapsed() >= PROGRESS_INTERVAL
            && buffer.len() - counted_bytes < MIN_PROGRESS_BYTES
        {
            account.record(Cause::SlowBody);
            return Err(CollectError::NoMemory);
        }
        (counted_at, counted_bytes) = (Instant::now(), buffer.len());
    }
}

/// The capacity of a buffer that has to hold `length` bytes. Growth by halves keeps the number of
/// copies small, and steps keep small bodies small.
fn next_capacity(length: usize, declared_bytes: usize, max_bytes: usize) -> usize {
    let capacity = (length + length / 2).next_multiple_of(BODY_STEP_BYTES);
    let most = if declared_bytes > 0 { declared_bytes } else { max_bytes };
    capacity.min(most).max(length)
}

fn append(
    buffer: &mut BytesMut,
    frame: Result<Frame<Bytes>, hyper::Error>,
    max_bytes: usize,
) -> Result<(), CollectError> {
    let frame = frame.map_err(|_| CollectError::Incomplete)?;
    let Some(bytes) = frame.data_ref() else { return Ok(()) };
    if buffer.len() + bytes.len() > max_bytes {
        return Err(CollectError::TooLarge);
    }
    buffer.extend_from_slice(bytes);
    Ok(())
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
