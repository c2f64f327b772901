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

/// A body that is given to the connection only before its deadline.
struct Timed {
    bytes: Option<Bytes>,
    clock: Arc<dyn Clock>,
    until: Instant,
}

/// A body that is known whole, and that breaks off before its first byte from `until` on.
///
/// The clock is looked at when the connection asks for the bytes: after the dial, and after any
/// pause of this process before that.
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
/// let until = clock.now() + Duration::from_secs(1);
/// let body = || http::timed("order", Arc::new(clock.clone()), until);
/// let (early, late) = (body(), body());
/// assert_eq!(smol::block_on(early.collect()).unwrap().to_bytes(), "order");
/// clock.advance(Duration::from_secs(1));
/// assert_eq!(smol::block_on(late.collect()).unwrap_err(), http::IncompleteBody);
/// ```
pub fn timed(bytes: impl Into<Bytes>, clock: Arc<dyn Clock>, until: Instant) -> Body {
    Timed { bytes: Some(bytes.into()), clock, until }.boxed_unsync()
}

impl hyper::body::Body for Timed {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        let in_time = self.clock.now() < self.until;
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
