use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use http_body_util::BodyExt;
use hyper::{
    Method, Request,
    body::{Bytes, Frame, SizeHint},
    header::{CONTENT_TYPE, HOST},
};

use crate::{
    clock::{Clock, within},
    http::{self, Broken},
    order::{Answer, Message},
};

const ANSWER_LIMIT: usize = 4096;

/// A body that is given to the connection only before its deadline.
///
/// The clock is looked at when the connection asks for the bytes: after the dial, and after any
/// pause of this process.
struct Timed {
    bytes: Option<Bytes>,
    clock: Arc<dyn Clock>,
    until: Instant,
}

/// Gives an order to a target until a deadline; the cause where no answer came in time.
pub(super) async fn deliver(
    clock: &Arc<dyn Clock>,
    target: SocketAddr,
    order: &Message,
    until: Instant,
) -> Result<Answer, String> {
    let left = until.saturating_duration_since(clock.now());
    if left.is_zero() {
        return Err("its time was over before it was sent".to_owned());
    }
    let bytes = serde_json::to_vec(order).map_err(|cause| cause.to_string())?;
    let body = Timed { bytes: Some(bytes.into()), clock: Arc::clone(clock), until };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/orders")
        .header(HOST, target.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(body.boxed())
        .map_err(|cause| cause.to_string())?;
    let exchange = async {
        let (response, _driver) =
            http::open(target, request, left, left).await.map_err(|cause| cause.to_string())?;
        let status = response.status();
        let body = http::collect(response.into_body(), ANSWER_LIMIT).await;
        let body = body.map_err(|_| "the answer was cut short or too large".to_owned())?;
        serde_json::from_slice(&body).map_err(|_| format!("{status}, no answer to an order"))
    };
    within(left, exchange).await.unwrap_or_else(|| Err("no answer in time".to_owned()))
}

impl hyper::body::Body for Timed {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        let in_time = self.clock.now() < self.until;
        Poll::Ready(Some(if in_time { Ok(Frame::data(bytes)) } else { Err(Broken) }))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.bytes.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
    }
}
