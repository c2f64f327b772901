use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Bytes, Frame, SizeHint};

use super::{Body, BufferShare, IncompleteBody, RequestAccount};

/// The body of a response, and the memory that its request and it hold until it is written.
pub(super) struct CountedBody {
    body: Body,
    request_account: RequestAccount,
    share: Option<BufferShare>,
}

impl CountedBody {
    pub(super) fn new(body: Body, request_account: RequestAccount, share: BufferShare) -> Self {
        Self { body, request_account, share: Some(share) }
    }
}

impl hyper::body::Body for CountedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if let Some(share) = self.share.take() {
            self.request_account.record_complete(share);
        }
    }
}
