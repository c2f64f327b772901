use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use http_body_util::BodyExt;
use hyper::body::{Bytes, Frame, SizeHint};

use super::{Body, IncompleteBody};
use crate::clock::Clock;

/// A body that fails if the connection requests it at or after a deadline.
struct DeadlineBody {
    bytes: Option<Bytes>,
    clock: Arc<dyn Clock>,
    deadline: Instant,
}

/// Returns a body that fails before its first byte if it is sent at or after `deadline`.
///
/// The deadline is checked when the connection requests the bytes, which is after connecting and
/// after any earlier pause of this process.
///
/// ```
/// use std::{sync::Arc, time::Duration};
///
/// use http_body_util::BodyExt;
/// use pomelogate::{
///     clock::{Clock, Manual},
///     http,
/// };
///
/// let clock = Manual::default();
/// let deadline = clock.now() + Duration::from_secs(1);
/// let body = || http::full_before_deadline("order", Arc::new(clock.clone()), deadline);
/// let (early, late) = (body(), body());
/// assert_eq!(smol::block_on(early.collect()).unwrap().to_bytes(), "order");
/// clock.advance(Duration::from_secs(1));
/// assert_eq!(smol::block_on(late.collect()).unwrap_err(), http::IncompleteBody);
/// ```
pub fn full_before_deadline(
    bytes: impl Into<Bytes>,
    clock: Arc<dyn Clock>,
    deadline: Instant,
) -> Body {
    DeadlineBody { bytes: Some(bytes.into()), clock, deadline }.boxed_unsync()
}

impl hyper::body::Body for DeadlineBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        let in_time = self.clock.now() < self.deadline;
        Poll::Ready(Some(if in_time { Ok(Frame::data(bytes)) } else { Err(IncompleteBody) }))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.bytes.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
    }
}
